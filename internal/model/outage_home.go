package model

import "time"

const homeShards = 64

// homeViews holds, for each host of an outage simulation, its view of the live hosts and
// the calls that it dispatched as their home.
type homeViews struct {
	outage *outageSim
	// seesLive[i][j] is set if host i considers host j live.
	seesLive [outageHosts][outageHosts]bool
	// partitioned is set while the two halves of the hosts cannot reach each other.
	partitioned bool
	// homeOrder is, by shard, the preference order of the hosts as its home.
	homeOrder [homeShards][]int
	// homeSince is, by host and shard, when the host became home in its own view. It is
	// zero if the host is not the home.
	homeSince [outageHosts][homeShards]time.Time
	// dispatched is, by host, the set of calls that the host has dispatched.
	dispatched [outageHosts]map[*outageCall]bool
}

// newHomeViews returns views in which all hosts are live, and schedules the partition.
func newHomeViews(s *outageSim) *homeViews {
	v := &homeViews{outage: s}
	for i := range v.seesLive {
		v.dispatched[i] = make(map[*outageCall]bool)
		for j := range v.seesLive[i] {
			v.seesLive[i][j] = true
		}
	}
	for shard := range v.homeOrder {
		v.homeOrder[shard] = s.sim.rng.Perm(outageHosts)
	}
	for i := range v.seesLive {
		v.updateHomeSince(i)
	}
	if s.PartitionDuration > 0 {
		s.sim.after(outageStart, func() { v.setPartitioned(true) })
		s.sim.after(outageStart+s.PartitionDuration, func() { v.setPartitioned(false) })
	}
	return v
}

// inDifferentHalves reports whether two hosts are in different halves.
func inDifferentHalves(i, j int) bool { return i%2 != j%2 }

// home returns the home of a shard in the view of a host.
func (v *homeViews) home(viewer, shard int) int {
	for _, h := range v.homeOrder[shard] {
		if v.seesLive[viewer][h] {
			return h
		}
	}
	return viewer
}

// updateHomeSince updates homeSince of a host after a change of its view.
func (v *homeViews) updateHomeSince(i int) {
	for shard := range v.homeSince[i] {
		switch {
		case v.home(i, shard) != i:
			v.homeSince[i][shard] = time.Time{}
		case v.homeSince[i][shard].IsZero():
			v.homeSince[i][shard] = v.outage.sim.now
		}
	}
}

// scheduleViewUpdate sets, after a random delay of at most MaxViewDelay, whether the
// viewer considers a host live.
func (v *homeViews) scheduleViewUpdate(viewer, host int, live bool) {
	v.outage.sim.after(v.outage.sim.between(0, v.outage.MaxViewDelay+1), func() {
		v.seesLive[viewer][host] = live
		v.updateHomeSince(viewer)
	})
}

// clearHost replaces host i by a new one, which has dispatched nothing and has been home
// of its shards only from now on.
func (v *homeViews) clearHost(i int) {
	v.dispatched[i] = make(map[*outageCall]bool)
	v.homeSince[i] = [homeShards]time.Time{}
	v.updateHomeSince(i)
}

// setPartitioned starts or ends the partition and schedules the updates of the views.
func (v *homeViews) setPartitioned(cut bool) {
	v.partitioned = cut
	for i := range outageHosts {
		for j := range outageHosts {
			if inDifferentHalves(i, j) {
				v.scheduleViewUpdate(i, j, !cut)
			}
		}
	}
}

// sendToHome sends the call through a random gate to the home in the gate's view. The
// call is refused if the gate cannot reach that host. It is also refused if that host,
// in its own view, is not the home or became the home after the call arrived.
func (s *outageSim) sendToHome(c *outageCall) {
	v := s.views
	gate := s.sim.rng.IntN(outageHosts)
	home := v.home(gate, c.shard)
	homeSince := v.homeSince[home][c.shard]
	if v.partitioned && inDifferentHalves(gate, home) || homeSince.IsZero() || homeSince.After(c.arrivedAt) && homeSince.After(epoch) {
		s.onRefusal(c)
		return
	}
	if !v.dispatched[home][c] {
		v.dispatched[home][c] = true
		c.dispatches++
		if c.dispatches == 2 {
			s.result.DuplicateDispatches++
		}
	}
	s.run(c, home)
}
