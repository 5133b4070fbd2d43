package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFleet simulates fleets in virtual time, with one seed per iteration. It measures what a member sends when
// nothing happens, how soon a crash and a join are known to all members, and the effect of packet loss.
//
//	go test -run xxx -bench Fleet -benchtime 5x ./internal/fleet/membership
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{25, 100, 300, 1000} {
		b.Run(fmt.Sprint(size, " members"), func(b *testing.B) {
			var start, crash, join, messages, bytes, worst, memory float64
			losses := []float64{0.01, 0.05, 0.2}
			suspicionRates := make([]float64, len(losses))
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range b.N {
				sim := newSimulation(b, *viewFirst+uint64(i), LAN())
				for k := range size {
					sim.startNode(name(k), "addr-"+name(k), "addr-"+name(0), "addr-"+name(1))
				}
				start += inSeconds(sim.runUntil(time.Minute, sim.converged))
				sim.sent, sim.bytes = 0, 0
				sim.run(10 * time.Second)
				messages += float64(sim.sent) / 10 / float64(size)
				bytes += float64(sim.bytes) / 10 / float64(size)
				sim.kill(sim.order[size/2])
				took := inSeconds(sim.runUntil(time.Minute, sim.converged))
				crash += took
				worst = max(worst, took)
				sim.startNode("new", "addr-new", "addr-"+name(3))
				join += inSeconds(sim.runUntil(time.Minute, sim.converged))
				for k, loss := range losses {
					sim.loss = loss
					sim.resetSuspected()
					sim.run(10 * time.Second)
					suspicionRates[k] += float64(len(sim.suspicions())) / 10 / float64(size)
				}
				var now runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&now)
				memory = float64(now.HeapAlloc-min(before.HeapAlloc, now.HeapAlloc)) / float64(size)
				runtime.KeepAlive(sim)
			}
			n := float64(b.N)
			b.ReportMetric(start/n, "start-s")
			b.ReportMetric(crash/n, "crash-s")
			b.ReportMetric(worst, "crash-worst-s")
			b.ReportMetric(join/n, "join-s")
			b.ReportMetric(messages/n, "messages/s")
			b.ReportMetric(bytes/n, "bytes/s")
			for k, loss := range losses {
				b.ReportMetric(suspicionRates[k]/n, fmt.Sprintf("doubts-at-%g%%/member-s", 100*loss))
			}
			b.ReportMetric(memory/1024, "KB/member")
		})
	}
}

func inSeconds(d time.Duration) float64 { return d.Seconds() }
