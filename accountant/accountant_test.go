package accountant

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate/recorder"
)

func TestAccount(t *testing.T) {
	// Guards against bytes between data centres that no metric shows.
	cases := []struct {
		name string
		far  bool
		want int64
	}{
		{"in the same data centre", false, 0},
		{"to another data centre", true, 8},
	}
	Convey("Bytes on a connection", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := recorder.New(zap.NewNop(), false)
				a := Account{Total: r.Counter(recorder.TargetBytes), Far: r.Counter(recorder.TargetBytesFar)}
				ours, theirs := net.Pipe()
				defer theirs.Close()
				go func() {
					b := make([]byte, 5)
					_, _ = io.ReadFull(theirs, b)
					_, _ = theirs.Write([]byte("abc"))
				}()
				conn := a.Open(ours, c.far)
				defer conn.Close()
				_, err := conn.Write([]byte("12345"))
				So(err, ShouldBeNil)
				_, err = io.ReadFull(conn, make([]byte, 3))
				So(err, ShouldBeNil)
				So(a.Total.Value(), ShouldEqual, 8)
				So(a.Far.Value(), ShouldEqual, c.want)
			})
		}
	})
}
