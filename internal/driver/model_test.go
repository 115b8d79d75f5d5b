package driver_test

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	pb "sapphirering/internal/workflow/workflowpb"
	"sapphirering/test/standin"
)

// modelFaultKind is a kind of disturbance in a modelled history.
type modelFaultKind string

// Kinds of disturbances. Those of a link last for a time, the others happen once.
const (
	// faultCut: calls are lost or arrive late, none is answered.
	faultCut modelFaultKind = "cut"
	// faultLate: half of the calls arrive late and are not answered.
	faultLate modelFaultKind = "late calls"
	// faultNoAnswer: most calls are carried out but not answered.
	faultNoAnswer modelFaultKind = "lost answers"
	// faultSlow: calls and answers take up to a second and overtake each other.
	faultSlow modelFaultKind = "slow answers"
	// faultMute: announcements and deregister calls do not arrive.
	faultMute modelFaultKind = "mute"
	// faultPlatform: orders are carried out late, or their answers are late or lost.
	faultPlatform modelFaultKind = "slow platform"
	// faultOutcomes: commits take effect but the leader does not learn that.
	faultOutcomes modelFaultKind = "lost outcomes"

	faultLateAnnouncement modelFaultKind = "late announcement"
	faultRestart          modelFaultKind = "restart"
	faultReplace          modelFaultKind = "replace"
	faultLeave            modelFaultKind = "leave"
	faultLeader           modelFaultKind = "leader change"
	faultWave             modelFaultKind = "maintenance"
)

var modelFaultKinds = []modelFaultKind{
	faultRestart, faultLate, faultCut, faultNoAnswer, faultLeader, faultLeave, faultMute, faultWave, faultPlatform, faultReplace, faultSlow,
	faultLateAnnouncement, faultOutcomes,
}

// modelFault is one disturbance.
type modelFault struct {
	At   time.Duration
	Kind modelFaultKind
	VM   int
	// For is how long a disturbance of a link lasts, a restart takes, a target drains, a
	// former leader's loop overlaps with the next, or an announcement is late.
	For time.Duration
	// Lost makes the answer to the deregister call of a leaving target get lost. SameID makes
	// the next target on its VM have the same id.
	Lost, SameID bool
}

// modelJob is one job with tasks of equal length.
type modelJob struct {
	At, Work time.Duration
	Copies   bool
	Tasks    []uint32
	Pool     string
}

// modelPlan is a history of jobs and disturbances.
type modelPlan struct {
	// Seed chooses the fates of calls.
	Seed      uint64
	VMs       []modelVM
	KillGrace time.Duration
	Behaviour standin.ModelBehaviour
	// Elections is the time between the losses of two leaders until the horizon, 0 for none.
	Elections time.Duration
	Jobs      []modelJob
	Faults    []modelFault
}

const (
	// modelHorizon is when all disturbances are over.
	modelHorizon = 25 * time.Second
	// modelBound is how long after the horizon all jobs must be done: calls may still arrive
	// late, and leases must lapse.
	modelBound = 60 * time.Second
	// modelLateMin and modelLateMax limit how late a late call arrives.
	modelLateMin, modelLateMax = 2 * time.Second, 12 * time.Second
	// modelLingers is how long a target stays whose deregister call gets no answer.
	modelLingers = 5 * time.Second
	// modelWaveTime is how long a maintenance wave may take.
	modelWaveTime = 10 * time.Second
)

func drawDuration(t *rapid.T, name string, least, most, unit time.Duration) time.Duration {
	return unit * time.Duration(rapid.IntRange(int(least/unit), int(most/unit)).Draw(t, name))
}

// drawPlan draws a history in which targets behave as allowed.
func drawPlan(t *rapid.T, allowed standin.ModelBehaviour) modelPlan {
	const step = 100 * time.Millisecond
	p := modelPlan{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		KillGrace: drawDuration(t, "kill grace", step, modelKillGrace, step), Behaviour: allowed,
	}
	// If confirmed numbers cover later ends, a confirmation that the next incarnation takes before any other call
	// costs it ends, whatever the leader does then: TestLateConfirmationBeforeFirstCall.
	// The seed decides, since another draw would change all recorded histories.
	p.Behaviour.ConfirmsLaterEnds = p.Seed%2 == 1
	p.Behaviour.RenewBeforeFirstCall = !p.Behaviour.ConfirmsLaterEnds
	for i := range rapid.IntRange(2, 4).Draw(t, "vms") {
		p.VMs = append(p.VMs, modelVM{pool: modelPools[i%len(modelPools)], slow: rapid.Bool().Draw(t, "slow clock")})
	}
	for range rapid.IntRange(1, 5).Draw(t, "jobs") {
		p.Jobs = append(p.Jobs, modelJob{
			At: drawDuration(t, "job at", 0, modelHorizon-5*time.Second, step), Work: drawDuration(t, "work", step, 8*time.Second, step),
			Copies: rapid.IntRange(0, 4).Draw(t, "copies") == 4,
			Tasks:  rapid.SliceOfN(rapid.Uint32Range(1, 4), 1, 2).Draw(t, "tasks"),
			Pool:   rapid.SampledFrom(modelPools[:]).Draw(t, "pool"),
		})
	}
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		p.Faults = append(p.Faults, modelFault{
			At: drawDuration(t, "fault at", 0, modelHorizon-step, step), Kind: rapid.SampledFrom(modelFaultKinds).Draw(t, "kind"),
			VM: rapid.IntRange(0, len(p.VMs)-1).Draw(t, "vm"), For: drawDuration(t, "for", 0, 10*time.Second, step), Lost: rapid.Bool().Draw(t, "lost"),
			SameID: rapid.Bool().Draw(t, "same id"),
		})
	}
	return p
}

func (p modelPlan) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d, VMs %+v, kill grace %s, %+v, elections each %s\n", p.Seed, p.VMs, p.KillGrace, p.Behaviour, p.Elections)
	for i, job := range p.Jobs {
		fmt.Fprintf(&out, "  %s job j%d in %s: work %s, tasks %v, copies %t\n", job.At, i, job.Pool, job.Work, job.Tasks, job.Copies)
	}
	for _, fault := range p.Faults {
		fmt.Fprintf(&out, "  %s %s: vm%d, for %s, answer lost %t, same id %t\n", fault.At, fault.Kind, fault.VM, fault.For, fault.Lost, fault.SameID)
	}
	return out.String()
}

// chance returns a number in [0, 1) that depends only on the plan, the call and a purpose.
func (p modelPlan) chance(call standin.ModelCall, purpose string) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, p.Seed, call.Kind, call.VM, call.Number, purpose)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// between returns a duration that depends only on the plan, the call and a purpose.
func (p modelPlan) between(least, most time.Duration, call standin.ModelCall, purpose string) time.Duration {
	return (least + time.Duration(p.chance(call, purpose)*float64(most-least))).Truncate(time.Millisecond)
}

// fate returns what the disturbances at a time do to a call.
func (p modelPlan) fate(at time.Duration, call standin.ModelCall) standin.ModelFate {
	for _, fault := range p.Faults {
		if at < fault.At || at >= min(fault.At+fault.For, modelHorizon) {
			continue
		}
		if fate := p.fateUnder(fault, call); fate != (standin.ModelFate{}) {
			return fate
		}
	}
	return standin.ModelFate{}
}

func (p modelPlan) fateUnder(fault modelFault, call standin.ModelCall) standin.ModelFate {
	toPlatform := call.Target == ""
	if toPlatform != (fault.Kind == faultPlatform) || !toPlatform && call.VM != modelVMName(fault.VM) {
		return standin.ModelFate{}
	}
	late := standin.ModelFate{Unanswered: true, After: p.between(modelLateMin, modelLateMax, call, "late"), Fails: p.chance(call, "fails") < 0.5}
	switch fault.Kind {
	case faultCut:
		return standin.ModelFate{Unanswered: true, Lost: p.chance(call, "lost") < 0.5, After: late.After}
	case faultLate:
		if p.chance(call, "is late") < 0.5 {
			return late
		}
	case faultNoAnswer:
		if p.chance(call, "no answer") < 0.6 {
			return standin.ModelFate{Unanswered: true}
		}
	case faultSlow:
		return standin.ModelFate{After: p.between(0, time.Second/2, call, "slow"), AnswerAfter: p.between(0, time.Second, call, "slow answer")}
	case faultPlatform:
		switch {
		case p.chance(call, "late order") < 0.25:
			return standin.ModelFate{Unanswered: true, After: p.between(0, 8*time.Second, call, "order")}
		case p.chance(call, "order without answer") < 0.3:
			return standin.ModelFate{Unanswered: true}
		default:
			return standin.ModelFate{AnswerAfter: p.between(0, 2*time.Second, call, "order answer")}
		}
	}
	return standin.ModelFate{}
}

// begin causes a disturbance that does not act through the fates of calls.
func (r *modelRig) begin(fault modelFault, number int) {
	vm := modelVMName(fault.VM)
	switch fault.Kind {
	case faultMute:
		r.setMuted(vm, true)
		time.AfterFunc(fault.For, func() { r.setMuted(vm, false) })
	case faultOutcomes:
		r.store.loseOutcomes(all)
		time.AfterFunc(fault.For/8, func() { r.store.loseOutcomes(nil) })
	case faultLateAnnouncement:
		r.announceLate(vm, fault.For)
	case faultRestart, faultReplace:
		r.fleet.Restart(vm, fault.For/4, fault.Kind == faultRestart)
	case faultLeave:
		r.fleet.Leave(vm, fault.For/2, modelLingers, fault.SameID, r.deregister(vm, fault.Lost))
	case faultLeader:
		r.changeLeader(fault.For / 4)
	case faultWave:
		wave := &pb.Wave{Id: uint64(number + 1), Vms: []string{vm}, DurationMs: modelWaveTime.Milliseconds(), Cap: 1}
		r.fleet.SetWave(wave.Id, wave.Vms)
		r.serve(&pb.Request{Operation: pb.Operation_OPERATION_DECLARE_WAVE, Wave: wave})
	}
}

// modelResult is what a history showed.
type modelResult struct {
	violations []standin.ModelViolation
	// unfinished holds the jobs that did not end in time, with their histories.
	unfinished []string
}

// playPlan plays a history in a synctest bubble.
func playPlan(t *testing.T, p modelPlan) modelResult {
	var result modelResult
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		r := newModelRig(t, p.KillGrace, p.VMs...)
		r.fleet.SetBehaviour(p.Behaviour)
		r.fleet.SetFate(func(call standin.ModelCall) standin.ModelFate { return p.fate(time.Since(began), call) })
		for i, fault := range p.Faults {
			time.AfterFunc(fault.At, func() { r.begin(fault, i) })
		}
		r.loseLeaders(p.Elections, modelHorizon)
		var ids []string
		for i, job := range p.Jobs {
			id := fmt.Sprintf("j%d", i)
			ids = append(ids, id)
			r.running.Go(func() {
				time.Sleep(job.At)
				r.submit(job.Pool, id, job.Work, job.Copies, job.Tasks...)
			})
		}
		time.Sleep(modelHorizon)
		left := r.unfinishedAfter(modelBound, ids...)
		r.close()
		result.violations = r.fleet.Violations()
		for _, id := range left {
			result.unfinished = append(result.unfinished, id+" is not done\n"+r.fleet.History(id))
		}
	})
	return result
}

// TestModel plays drawn histories against the driver: no task has two runs at once or starts
// after a confirmed end as done, and every job ends once the disturbances are over.
// More histories: go test ./internal/driver -run 'TestModel$' -rapid.checks=10000
func TestModel(t *testing.T) {
	checkModel(t, standin.ModelBehaviour{LateRenewReachesNext: true}, false)
}

// TestModelLateGrants is TestModel with targets that count the leases of late calls from
// their arrival.
func TestModelLateGrants(t *testing.T) {
	checkModel(t, standin.ModelBehaviour{LateRenewReachesNext: true, LateGrantsShift: true}, false)
}

// TestModelElections is TestModelLateGrants with leaders that are lost in turn.
func TestModelElections(t *testing.T) {
	checkModel(t, standin.ModelBehaviour{LateRenewReachesNext: true, LateGrantsShift: true}, true)
}

func checkModel(t *testing.T, behaviour standin.ModelBehaviour, elections bool) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt, behaviour)
		if elections {
			p.Elections = drawDuration(rt, "elections", 3*time.Second, 12*time.Second, 100*time.Millisecond)
		}
		result := playPlan(t, p)
		for _, violation := range result.violations {
			rt.Errorf("%s\n%s", p, violation)
		}
		for _, job := range result.unfinished {
			rt.Errorf("%s\n%s", p, job)
		}
	})
}
