// Package recorder provides numbered log events, a log writer that does not block, and
// the propagation of trace contexts in headers. docs/EVENTS.md lists every event.
//
// # Usage
//
//	log.Info("configuration in force", recorder.EventConfigurationInForce.Attr(),
//		slog.Uint64("generation", 7))
package recorder

import (
	"fmt"
	"log/slog"
)

// Event is the number of a kind of log event. Numbers are never reused.
type Event int

// Events of an entry instance.
const (
	EventStarted               Event = 1001
	EventReady                 Event = 1002
	EventStopping              Event = 1003
	EventStopped               Event = 1004
	EventConfigurationInForce  Event = 1101
	EventConfigurationInvalid  Event = 1102
	EventConfigurationAccepted Event = 1103
	EventStoreUnavailable      Event = 1104
	EventStoreRecovered        Event = 1105
	EventRelayStarted          Event = 1106
	EventRelayStopped          Event = 1107
	EventMemberChanged         Event = 1201
	EventOwnershipChanged      Event = 1202
	EventServersAcquired       Event = 1203
	EventDomainUnreachable     Event = 1204
	EventDomainReachable       Event = 1205
	EventServerEjected         Event = 1301
	EventServerLeaving         Event = 1302
	EventRequestSuspected      Event = 1303
	EventRequestBlocked        Event = 1304
	EventServerChecked         Event = 1305
	EventSuspicionEnded        Event = 1306
	EventRequestRefused        Event = 1401
	EventOutcomeUnknown        Event = 1402
	EventAnswerTruncated       Event = 1403
	EventRoomShort             Event = 1410
	EventClaimUnverifiable     Event = 1501
	EventClaimsHandedOver      Event = 1502
	EventCertificateReloaded   Event = 1601
	EventCertificateInvalid    Event = 1602
	EventOperatorRefused       Event = 1701
	EventPlanAccepted          Event = 1801
	EventPlanRefused           Event = 1802
	EventLeaseAcquired         Event = 1803
	EventLeaseLost             Event = 1804
	EventObjectMalformed       Event = 1901
	EventHistoryGone           Event = 1902
	EventDomainEvacuated       Event = 1903
	EventDomainRestored        Event = 1904
	EventInstanceUnreachable   Event = 1905
	EventSettingsReloaded      Event = 1906
	EventSettingsInvalid       Event = 1907
	EventRequestRetried        Event = 1908
	EventRequestFinished       Event = 1909
	EventLinesDropped          Event = 1910
	EventRegistrationFailed    Event = 1911
	EventConfigurationStale    Event = 1912
	EventServerJoined          Event = 1913
	EventServerRemoved         Event = 1914
	EventBootstrapped          Event = 1915
	EventPartUnreadable        Event = 1916
	EventRelayLost             Event = 1917
	EventCaughtUp              Event = 1918
	EventServerLimited         Event = 1919
	EventServerUnlimited       Event = 1920
	EventLoanFailed            Event = 1921
	EventStoreRestored         Event = 1922
	EventServerPaused          Event = 1923
	EventRetryBudgetSpent      Event = 1924
	EventCutOff                Event = 1925
	EventCutOffEnded           Event = 1926
	EventRerouteFailed         Event = 1927
	EventServerProbed          Event = 1928
	EventInstanceRemoved       Event = 1929
	EventRemovalFailed         Event = 1930
	EventInstanceBack          Event = 1931
	EventVerdictRefuted        Event = 1932
	EventVerdictNotSent        Event = 1933
	EventVerdictMalformed      Event = 1934
	EventRemovalRefuted        Event = 1935
	EventQuotaSpent            Event = 1941
	EventQuotaFree             Event = 1942
	EventQuotaLoanFailed       Event = 1943
	EventCallerUnread          Event = 1951
	EventAnswerInvalid         Event = 1952
)

// Description describes an event. It equals the event's row in docs/EVENTS.md.
type Description struct {
	Event   Event
	Level   slog.Level
	Meaning string
}

// Catalogue returns the descriptions of all events, in ascending order of their numbers.
func Catalogue() []Description {
	return []Description{
		{EventStarted, slog.LevelInfo, "The instance has started and listens."},
		{EventReady, slog.LevelInfo, "The instance has a configuration and serves callers."},
		{EventStopping, slog.LevelInfo, "A planned stop began; no new work is taken."},
		{EventStopped, slog.LevelInfo, "The instance has finished its last request."},
		{EventConfigurationInForce, slog.LevelInfo, "A newer generation is in force on this instance."},
		{EventConfigurationInvalid, slog.LevelError, "A generation was received that cannot be decoded; the previous one stays in force."},
		{EventConfigurationAccepted, slog.LevelInfo, "An operator's change was accepted."},
		{EventStoreUnavailable, slog.LevelWarn, "The platform's store does not answer."},
		{EventStoreRecovered, slog.LevelInfo, "The platform's store answers again."},
		{EventRelayStarted, slog.LevelInfo, "The instance watches the store for its failure domain."},
		{EventRelayStopped, slog.LevelInfo, "The instance no longer watches the store."},
		{EventMemberChanged, slog.LevelInfo, "An instance joined, left, is suspected or was declared dead."},
		{EventOwnershipChanged, slog.LevelInfo, "The set of backend servers owned by this instance changed."},
		{EventServersAcquired, slog.LevelInfo, "A previous owner has let go of backend servers."},
		{EventDomainUnreachable, slog.LevelWarn, "No instance of another failure domain answers."},
		{EventDomainReachable, slog.LevelInfo, "An unreachable failure domain answers again."},
		{EventServerEjected, slog.LevelWarn, "A backend server gets no work for a while because requests to it failed."},
		{EventServerLeaving, slog.LevelInfo, "A backend server says that it is about to stop."},
		{EventRequestSuspected, slog.LevelWarn, "A backend server died while it ran a request; such requests run one at a time now."},
		{EventRequestBlocked, slog.LevelWarn, "A second backend server died of the same request; it is refused for a while."},
		{EventServerChecked, slog.LevelInfo, "A backend server broke off a request and was asked whether it still accepts connections; isDown says that it does not, isLinkDoubtful that this instance's own links may be at fault."},
		{EventSuspicionEnded, slog.LevelInfo, "A suspected request was answered by a server to its end; it is no longer suspected here or at other instances."},
		{EventRequestRefused, slog.LevelInfo, "A request was refused and did not run."},
		{EventOutcomeUnknown, slog.LevelWarn, "A request may have run; its answer was lost."},
		{EventAnswerTruncated, slog.LevelWarn, "A backend server's answer broke off; the caller's connection was cut."},
		{EventRoomShort, slog.LevelInfo, "There is too little room at the servers of a service; requests wait or are turned away."},
		{EventClaimUnverifiable, slog.LevelWarn, "It cannot be known whether an idempotency key was used."},
		{EventClaimsHandedOver, slog.LevelInfo, "Claims on idempotency keys moved to their next home."},
		{EventCertificateReloaded, slog.LevelInfo, "A changed certificate is in use."},
		{EventCertificateInvalid, slog.LevelError, "A changed certificate cannot be used; the previous one stays."},
		{EventOperatorRefused, slog.LevelWarn, "A call on the operators' port had no valid credential."},
		{EventPlanAccepted, slog.LevelInfo, "A plan that this instance made is accepted; reasons says why shares move."},
		{EventPlanRefused, slog.LevelInfo, "A plan that this instance made was not accepted; the one in force stays."},
		{EventLeaseAcquired, slog.LevelInfo, "This instance makes plans from now on."},
		{EventLeaseLost, slog.LevelWarn, "Another instance makes plans, although this one's lease has not passed."},
		{EventObjectMalformed, slog.LevelWarn, "An object of the platform's store cannot be decoded and is left out."},
		{EventHistoryGone, slog.LevelWarn, "Changes of the store were lost; the collection is listed again."},
		{EventDomainEvacuated, slog.LevelInfo, "The operator empties a failure domain; its servers get nothing."},
		{EventDomainRestored, slog.LevelInfo, "A failure domain is in use again; its servers count as cold at first."},
		{EventInstanceUnreachable, slog.LevelWarn, "An instance does not answer this one any more; look-ups do not name it. reportedBy names the instance whose verdict caused the probe."},
		{EventSettingsReloaded, slog.LevelInfo, "Changed settings are in force."},
		{EventSettingsInvalid, slog.LevelError, "Changed settings are faulty; the previous ones stay."},
		{EventRequestRetried, slog.LevelInfo, "An attempt failed and the request goes to another backend server, or through another instance."},
		{EventRequestFinished, slog.LevelDebug, "A request was answered; a sample of all of them."},
		{EventLinesDropped, slog.LevelWarn, "Log lines were dropped because too many were written; count says how many."},
		{EventRegistrationFailed, slog.LevelWarn, "The instance's own entry in the store could not be written or removed; it is tried again."},
		{EventConfigurationStale, slog.LevelWarn, "A configuration older than the one in force was read and is ignored."},
		{EventServerJoined, slog.LevelInfo, "A backend server is in use; coldFor says how long it warms up."},
		{EventServerRemoved, slog.LevelInfo, "A backend server's entry is gone; it gets no work."},
		{EventBootstrapped, slog.LevelWarn, "The store does not answer; the instance starts with what another instance knows."},
		{EventPartUnreadable, slog.LevelWarn, "A part of the configuration cannot be read; what depends on it is refused or served with the greatest care."},
		{EventRelayLost, slog.LevelInfo, "The relay that the instance followed broke off, is silent or has lost the store; another one is followed."},
		{EventCaughtUp, slog.LevelInfo, "Another instance has known more than this one for a while; the rest is fetched from it."},
		{EventServerLimited, slog.LevelInfo, "A backend server names the requests a second that it takes from all instances together, or another number; perSecond says how many."},
		{EventServerUnlimited, slog.LevelInfo, "A backend server no longer names such a limit."},
		{EventLoanFailed, slog.LevelInfo, "Another instance did not answer whether it lends a request to a server that names a limit."},
		{EventStoreRestored, slog.LevelWarn, "The platform's store has come back from an earlier copy, as its era shows; what was written since may be missing or written again."},
		{EventServerPaused, slog.LevelInfo, "A backend server turned a request away and wants no others from this instance until the time in until."},
		{EventRetryBudgetSpent, slog.LevelInfo, "This instance's part of the retry budget of a service is spent; requests, retries, extraShare (of the extra retries of the fleet) and isNew (started within the window) are what it was worked out from."},
		{EventCutOff, slog.LevelWarn, "This instance has lost its links to all servers of a service; requests for it go through other instances."},
		{EventCutOffEnded, slog.LevelInfo, "This instance reaches the servers of that service again."},
		{EventRerouteFailed, slog.LevelInfo, "Another instance did not take a request of this one, which is cut off from the servers; the next one is asked."},
		{EventServerProbed, slog.LevelInfo, "An unreachable backend server was probed, because other instances use up what a cold one may get; isBack says whether it answered."},
		{EventInstanceRemoved, slog.LevelInfo, "The entry of a dead instance was removed from the store; soon no look-up of the fleet names it."},
		{EventRemovalFailed, slog.LevelWarn, "The entry of a dead instance could not be removed from the store yet; other instances may still name it."},
		{EventInstanceBack, slog.LevelInfo, "An instance that counted as dead answers again; look-ups name it. reportedBy names the instance whose verdict caused the probe."},
		{EventVerdictRefuted, slog.LevelInfo, "Another instance takes one for dead that answers this one; nothing changes here."},
		{EventVerdictNotSent, slog.LevelInfo, "Another instance could not be told which instances count as dead; it learns of them from others."},
		{EventVerdictMalformed, slog.LevelWarn, "What another instance says of dead instances cannot be read and is ignored."},
		{EventRemovalRefuted, slog.LevelInfo, "The entry of an instance that counted as dead was not removed from the store, because it answers this instance or another one."},
		{EventQuotaSpent, slog.LevelInfo, "A request of a tenant was refused because its quota is spent; further refusals are only counted."},
		{EventQuotaFree, slog.LevelInfo, "No request of that tenant has been refused for its quota for a while; refusals says how many were."},
		{EventQuotaLoanFailed, slog.LevelInfo, "Another instance did not answer whether it lends tokens of a quota, or a message about it is malformed."},
		{EventCallerUnread, slog.LevelInfo, "A caller took nothing of its answer for a while; its connection was ended."},
		{EventAnswerInvalid, slog.LevelWarn, "A backend server sent an invalid answer; whether the request has run is not known."},
	}
}

// String returns the event's number as it appears in logs.
func (e Event) String() string { return fmt.Sprintf("PC%d", int(e)) }

// Attr returns the log attribute of the event.
func (e Event) Attr() slog.Attr { return slog.String("event", e.String()) }
