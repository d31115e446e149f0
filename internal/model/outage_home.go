package model

import "time"

const homeShards = 64

// homeViews holds what each host of an outage run takes for the live hosts, and
// what it decided in memory as the home of keys.
type homeViews struct {
	w *outageWorld
	// sees tells, by host, which others it takes for live.
	sees [outageHosts][outageHosts]bool
	// cut is set while the two halves of the hosts do not hear each other.
	cut bool
	// order is, by shard, the order in which hosts become its home.
	order [homeShards][]int
	// since is, by host and shard, when the host became home by its own view.
	since [outageHosts][homeShards]time.Time
	// held are, by host, the calls that it has let run.
	held [outageHosts]map[*outageCall]bool
}

func newHomeViews(w *outageWorld) *homeViews {
	v := &homeViews{w: w}
	for i := range v.sees {
		v.held[i] = make(map[*outageCall]bool)
		for j := range v.sees[i] {
			v.sees[i][j] = true
		}
	}
	for s := range v.order {
		v.order[s] = w.sim.rng.Perm(outageHosts)
	}
	for i := range v.sees {
		v.refresh(i)
	}
	if w.Partition > 0 {
		w.sim.after(outageStart, func() { v.setCut(true) })
		w.sim.after(outageStart+w.Partition, func() { v.setCut(false) })
	}
	return v
}

// apart reports whether two hosts are in different halves.
func apart(i, j int) bool { return i%2 != j%2 }

// home returns the home of a shard in the view of a host.
func (v *homeViews) home(viewer, shard int) int {
	for _, h := range v.order[shard] {
		if v.sees[viewer][h] {
			return h
		}
	}
	return viewer
}

// refresh notes since when a host has been the home of each shard.
func (v *homeViews) refresh(i int) {
	for s := range v.since[i] {
		switch {
		case v.home(i, s) != i:
			v.since[i][s] = time.Time{}
		case v.since[i][s].IsZero():
			v.since[i][s] = v.w.sim.time
		}
	}
}

// learn lets a host see after its lag that another one came or went.
func (v *homeViews) learn(viewer, host int, live bool) {
	v.w.sim.after(v.w.sim.between(0, v.w.ViewLag+1), func() {
		v.sees[viewer][host] = live
		v.refresh(viewer)
	})
}

// replaced puts a host with empty memory in the place of another one.
func (v *homeViews) replaced(i int) {
	v.held[i] = make(map[*outageCall]bool)
	v.since[i] = [homeShards]time.Time{}
	v.refresh(i)
}

func (v *homeViews) setCut(cut bool) {
	v.cut = cut
	for i := range outageHosts {
		for j := range outageHosts {
			if apart(i, j) {
				v.learn(i, j, !cut)
			}
		}
	}
}

// sendHome lets the home in the view of any gate decide about a call.
func (w *outageWorld) sendHome(c *outageCall) {
	v := w.homes
	gate := w.sim.rng.IntN(outageHosts)
	home := v.home(gate, c.shard)
	since := v.since[home][c.shard]
	if v.cut && apart(gate, home) || since.IsZero() || since.After(c.wanted) && since.After(epoch) {
		w.refused(c)
		return
	}
	if !v.held[home][c] {
		v.held[home][c] = true
		c.runs++
		if c.runs == 2 {
			w.result.Doubled++
		}
	}
	w.run(c, home)
}
