package hoster

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/disseminator"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// verdictsPath is the path at which an instance receives the verdicts of others.
	verdictsPath = "/verdicts"
	// maxVerdictBytes limits the size of a message of verdicts.
	maxVerdictBytes = 32 << 10
)

// verdictRecord is the encoding of prober.Verdict between instances.
type verdictRecord struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation,string"`
	IsDead      bool   `json:"isDead"`
}

// verdictMessage is what one instance tells another of dead instances.
type verdictMessage struct {
	From     string          `json:"from"`
	Verdicts []verdictRecord `json:"verdicts"`
}

func encodeVerdicts(verdicts []prober.Verdict) []verdictRecord {
	var records []verdictRecord
	for _, v := range verdicts {
		records = append(records, verdictRecord(v))
	}
	return records
}

func decodeVerdicts(records []verdictRecord) []prober.Verdict {
	var verdicts []prober.Verdict
	for _, r := range records {
		verdicts = append(verdicts, prober.Verdict(r))
	}
	return verdicts
}

// newDisseminator returns what tells other instances of dead ones.
func (h *Hoster) newDisseminator() *disseminator.Disseminator {
	return disseminator.New(disseminator.Config{Peers: h.roster.peers, Holds: h.prober.Holds, Send: h.sendVerdicts, Log: h.config.Log})
}

// verdictChanged acts on a changed verdict of the prober.
func (h *Hoster) verdictChanged(v prober.Verdict) {
	if v.IsDead {
		h.remover.Wake()
	}
	h.disseminator.Tell(v)
}

// sendVerdicts sends verdicts to another instance.
func (h *Hoster) sendVerdicts(ctx context.Context, to namer.Instance, verdicts []prober.Verdict) error {
	body, err := json.Marshal(verdictMessage{From: h.config.Self.ID, Verdicts: encodeVerdicts(verdicts)})
	if err != nil {
		return err
	}
	return post(ctx, h.peers, to, verdictsPath, body)
}

// serveVerdicts receives verdicts of another instance.
func (h *Hoster) serveVerdicts(w http.ResponseWriter, r bunrouter.Request) error {
	var message verdictMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, maxVerdictBytes)).Decode(&message); err != nil {
		h.config.Log.Warn("an instance sent malformed verdicts", recorder.EventVerdictMalformed.Attr(), slog.Any("error", err))
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	h.prober.Receive(message.From, decodeVerdicts(message.Verdicts))
	return nil
}
