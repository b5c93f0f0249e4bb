package protocol

import (
	"bytes"
	"testing"
)

// BenchmarkPeerFrames is what writing and reading a message of every kind cost.
func BenchmarkPeerFrames(b *testing.B) {
	samples := samplePeerMessages()
	var stream []byte
	for _, m := range samples {
		stream = AppendPeerFrame(stream, m)
	}
	b.Run("append", func(b *testing.B) {
		buf := make([]byte, 0, 2*len(stream))
		b.ReportAllocs()
		for b.Loop() {
			out := buf
			for _, m := range samples {
				out = AppendPeerFrame(out, m)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		r := bytes.NewReader(nil)
		b.ReportAllocs()
		for b.Loop() {
			r.Reset(stream)
			for range samples {
				if _, err := ReadPeerFrame(r); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}
