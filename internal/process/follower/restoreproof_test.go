package follower_test

import (
	"testing"
	"time"

	"github.com/foxtailwharf/foxtailwharf"
)

// TestProofSoonAfterRestore guards against entries that refuse keys for seconds after the time for which a store that came back from
// an older copy proves nothing.
func TestProofSoonAfterRestore(t *testing.T) {
	const soon = 100 * time.Millisecond
	for _, offset := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		run(t, func(b *bench) {
			older := b.store.Copy()
			b.store.PutConfiguration(foxtailwharf.Configuration{Version: 4})
			time.Sleep(2*time.Second + offset)
			b.store.Restore(older)
			time.Sleep(time.Second)
			b.store.PutConfiguration(foxtailwharf.Configuration{Version: 4})
			time.Sleep(200 * time.Millisecond)
			provesFrom := b.follower.View().ProvesFrom
			if provesFrom == 0 {
				t.Fatal("the follower has not noticed the restore")
			}
			time.Sleep(provesFrom - b.clock() + soon)
			if v := b.follower.View(); !v.HasProof || v.ConfiguredAt < provesFrom || b.version() != 4 {
				t.Errorf("restored after %s: %s after the store proves again, the last proof of version %d is %s old", offset, soon, b.version(), b.clock()-v.ConfiguredAt)
			}
		})
	}
}
