// Package addr checks network addresses that other processes state.
//
// # Usage
//
//	if !addr.IsReachable(entry.Address) {
//		return errMalformed
//	}
package addr

import "net/netip"

// IsReachable reports whether s is the IP address and port of a single host.
func IsReachable(s string) bool {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return false
	}
	ip := a.Addr()
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
