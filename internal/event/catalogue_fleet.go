package event

import "github.com/apex/log"

// Events of drains, maintenance waves and moves between pools.
var (
	DrainStarted   = define(6050, log.InfoLevel, "VM is being drained", "")
	DrainAborted   = define(6051, log.WarnLevel, "drain aborted, the VM takes work again", "")
	VMLost         = define(6052, log.WarnLevel, "VM lost outside of maintenance", "Check the VM and its rack; the cluster continues without it.")
	VMReturned     = define(6053, log.InfoLevel, "VM takes work again", "")
	RebootStarted  = define(6054, log.InfoLevel, "platform is asked to reboot a VM", "")
	RebootFailed   = define(6055, log.WarnLevel, "reboot failed or the VM did not return", "Repair the VM, then undrain or remove it.")
	WaveEnded      = define(6056, log.InfoLevel, "maintenance wave ended", "")
	VMMoved        = define(6057, log.InfoLevel, "VM moved to another pool", "")
	PlatformFailed = define(6058, log.WarnLevel, "platform call failed, retrying with the same operation id", "Check platform_url and the platform.")
)
