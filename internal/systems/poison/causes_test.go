package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/poison"
)

func TestKnownCausesAreBoundedAndPartsAreKept(t *testing.T) {
	causes := poison.NewCauses()
	part := poison.NewCause(poison.PartTrait("bad"))
	causes.Add(start, part)
	for n := range 1000 {
		causes.Add(start.Add(time.Duration(n)*time.Second), poison.NewCause(poison.Trait(fmt.Sprintf("content:%d", n))))
	}
	known := causes.All()
	if len(known) != 256 {
		t.Errorf("%d causes are known", len(known))
	}
	for _, name := range []string{part.String(), "content:999"} {
		if _, kept := known[name]; !kept {
			t.Errorf("%s is not kept", name)
		}
	}
}
