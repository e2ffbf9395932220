package control

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutine leaks.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
