package orderbench

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a benchmark whose orders fail or make no store writes.
func TestRun(t *testing.T) {
	for _, batch := range []bool{false, true} {
		g := NewWithT(t)
		result, err := Run(context.Background(), Options{
			BatchClaims: batch, Instances: 2, Callers: 8, StoreLatency: time.Millisecond,
			Duration: 100 * time.Millisecond, ExistingOrders: 10,
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Failed).To(BeZero())
		g.Expect(result.Orders).To(BeNumerically(">", 0))
		g.Expect(result.StoreWritesPerOrder).To(BeNumerically(">", 0))
	}
}

// BenchmarkClaims prints a table of all measurements. Run it with -benchtime=1x.
func BenchmarkClaims(b *testing.B) {
	for b.Loop() {
		if err := RunAll(context.Background(), 2*time.Second, func(r Result) { fmt.Println(r) }); err != nil {
			b.Fatal(err)
		}
	}
}
