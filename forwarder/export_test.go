package forwarder

// Waiting returns the number of requests in the queue, and that which is known without its lock.
func (f *Forwarder) Waiting() (queued int, counted int64) {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	return f.room.queue.Len() + len(f.room.wokenBy), f.room.waiting.Load()
}
