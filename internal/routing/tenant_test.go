package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a key that is taken for that of another tenant, and against a
// request without a key that is taken for one of a tenant with an empty key.
func TestTenantByKey(t *testing.T) {
	d := validDocument()
	d.Tenants = []Tenant{
		{Name: "t", KeyDigests: []string{KeyDigest("k1"), KeyDigest("k2")}},
		{Name: "u", KeyDigests: []string{KeyDigest("")}},
	}
	table := NewTable(d)
	assert.Equal(t, "t", table.TenantByKey("k1").Name)
	assert.Equal(t, "t", table.TenantByKey("k2").Name)
	assert.Nil(t, table.TenantByKey("k3"))
	assert.Nil(t, table.TenantByKey(""))
}
