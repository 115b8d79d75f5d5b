package event

import "github.com/apex/log"

// Events of links and membership.
var (
	FrameRefused   = define(2050, log.WarnLevel, "malformed or oversize inner frame, stream closed", "Check that both daemons run compatible versions.")
	StreamsRefused = define(2051, log.WarnLevel, "peer exceeds the limit of streams or bytes, stream closed", "Check the peer for a fault.")
	LinkSilent     = define(2052, log.WarnLevel, "link went silent, session closed", "Check the network between both daemons if it repeats.")
	CatchUpSlow    = define(2055, log.WarnLevel, "new member serves before it has caught up", "Check the links to the leader.")
	LeaderDiskSlow = define(2056, log.WarnLevel, "leader's saves are slow, another voter is to lead", "Check the disk of this VM.")
	UnknownMember  = define(2053, log.WarnLevel, "peer is not in the member list, refused", "If it was removed, stop it, empty its data folder and start it to let it join anew.")
)
