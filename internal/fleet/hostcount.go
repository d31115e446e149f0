package fleet

// MaxHosts is the largest number of hosts that the system is built for. Limits are divided by
// it while the number of hosts is not known.
const MaxHosts = 410

// HostCount is the number of hosts of a deployment. The zero value means that it is not known.
type HostCount struct {
	known int
}

// KnownHostCount returns the count of n hosts. It is unknown if n is not positive.
func KnownHostCount(n int) HostCount { return HostCount{known: max(n, 0)} }

// Known returns the number of hosts, or false if it is not known.
func (c HostCount) Known() (int, bool) { return c.known, c.known > 0 }

// Most returns the number of hosts that there may be: MaxHosts if it is not known.
func (c HostCount) Most() int {
	if c.known > 0 {
		return c.known
	}
	return MaxHosts
}

// Share returns the fraction of a limit of the whole deployment that count hosts may use.
func (c HostCount) Share(count int) float64 {
	return min(float64(count)/float64(c.Most()), 1)
}
