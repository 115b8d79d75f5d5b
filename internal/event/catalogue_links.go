package event

import "github.com/apex/log"

// Events of links between daemons and of membership.
var (
	FrameRefused   = define(2050, log.WarnLevel, "peer sent a malformed or oversize frame or too many bytes at once, stream closed", "Check that both daemons run compatible versions.")
	StreamsRefused = define(2051, log.WarnLevel, "peer opened too many streams, stream closed", "Check the peer for a fault.")
	LinkSilent     = define(2052, log.WarnLevel, "nothing received from a peer for too long, link closed", "If it repeats, check the network between the two daemons.")
	CatchUpSlow    = define(2055, log.WarnLevel, "new member serves requests before it has caught up", "Check the links to the leader.")
	LeaderDiskSlow = define(2056, log.WarnLevel, "leader's disk is slow, leadership is handed to another voter", "Check the disk of this VM.")
	StreamFailed   = define(2057, log.ErrorLevel, "a request of another daemon failed unexpectedly, its stream is closed", "Report the error and the stack.")
	UnknownMember  = define(2053, log.WarnLevel, "peer is not in the member list, stream refused", "If it was removed, stop it, empty its data folder and start it, so that it joins as a new member.")
)
