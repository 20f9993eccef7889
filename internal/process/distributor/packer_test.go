package distributor

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// listedUpstreams returns a list of upstreams as the platform has it.
func listedUpstreams(count int) (list []foxtailwharf.Upstream) {
	for n := range count {
		list = append(list, foxtailwharf.Upstream{
			ID: fmt.Sprintf("upstream-%x", n*7919), Service: "s", FailureDomain: fmt.Sprint("d", n%7), Slots: 8, Weights: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n / 200), byte(n%200 + 1)}), 8090), Born: time.Unix(1e9+int64(n), 0).UTC(),
		})
	}
	return list
}

// TestPackedDocument guards against a document that is compressed for each entry which lacks it, or is not
// compressed again when it has changed.
func TestPackedDocument(t *testing.T) {
	lists := [][]foxtailwharf.Upstream{listedUpstreams(3), listedUpstreams(4)}
	tests := []struct {
		name     string
		version  uint64
		document []foxtailwharf.Upstream
		want     []foxtailwharf.Upstream
	}{
		{"first", 0, lists[0], lists[0]},
		{"kept", 0, lists[1], lists[0]},
		{"changed", 1, lists[1], lists[1]},
		{"changed back", 0, lists[0], lists[0]},
	}
	var p packedDocument
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text, err := p.pack(tt.version, tt.document)
			if err != nil {
				t.Fatal(err)
			}
			var have []foxtailwharf.Upstream
			if err := unpack(text, &have); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(have, tt.want) {
				t.Errorf("unpacked %v, want %v", have, tt.want)
			}
		})
	}
}

// BenchmarkWholeList is what the entry that reads the store for its failure domain spends on the list of 3,400
// upstreams for 56 entries that have just started.
func BenchmarkWholeList(b *testing.B) {
	list := listedUpstreams(3400)
	for b.Loop() {
		var p packedDocument
		for range 56 {
			if _, err := p.pack(1, list); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkUnpackList is what an entry spends on that list when it gets it.
func BenchmarkUnpackList(b *testing.B) {
	text, err := pack(listedUpstreams(3400))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var list []foxtailwharf.Upstream
		if err := unpack(text, &list); err != nil {
			b.Fatal(err)
		}
	}
}
