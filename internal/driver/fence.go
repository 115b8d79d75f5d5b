package driver

// incarnationBits is the number of low bits of a fence that count the incarnations of targets that
// a leader has met. The bits above hold its epoch.
const incarnationBits = 20

// nextFence returns the fence for the calls to an incarnation of a target that the leader has just
// met. It is higher than that of every call to a former incarnation: once the new one has taken a
// call, it refuses those, whatever they carry and however late they come.
func (d *Driver) nextFence() uint64 {
	d.incarnations = min(d.incarnations+1, 1<<incarnationBits-1)
	return d.cfg.Epoch<<incarnationBits | d.incarnations
}

// EpochOf returns the epoch of the leader that sent a call with a fence.
func EpochOf(fence uint64) uint64 { return fence >> incarnationBits }
