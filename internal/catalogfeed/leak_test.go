package catalogfeed

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive the test that started them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
