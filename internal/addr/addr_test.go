package addr_test

import (
	"testing"

	"github.com/matryer/is"

	"mustardvane.org/vane/internal/addr"
)

func TestIsReachable(t *testing.T) {
	for _, tt := range []struct {
		addr string
		want bool
	}{
		{"10.0.0.1:80", true},
		{"127.0.0.1:65535", true},
		{"[fd00::1]:80", true},
		{"10.0.0.1:65536", false},
		{"10.0.0.1:-1", false},
		{"10.0.0.1:0", false},
		{"10.0.0.1:", false},
		{"10.0.0.1", false},
		{"10.0.0.256:80", false},
		{"host:80", false},
		{":80", false},
		{"0.0.0.0:80", false},
		{"255.255.255.255:80", false},
		{"224.0.0.1:80", false},
		{"", false},
	} {
		t.Run(tt.addr, func(t *testing.T) {
			is.New(t).Equal(addr.IsReachable(tt.addr), tt.want)
		})
	}
}
