package networker_test

import (
	"net"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

func TestConnectionsAreCounted(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	count := &networker.ConnectionCount{}
	counted := networker.CountListener(lis, count)
	defer counted.Close()
	dial(t, lis.Addr().String())
	dial(t, lis.Addr().String())
	first, err := counted.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	second, err := counted.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer second.Close()
	first.Close()
	first.Close()
	quicktest.Check(t, count.Accepted(), quicktest.Equals, int64(2))
	quicktest.Check(t, count.Open(), quicktest.Equals, int64(1))
}
