package pausedetect_test

import (
	"fmt"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/pausedetect"
)

func ExampleDetector() {
	det := pausedetect.New(time.Minute)
	defer det.Close()
	epoch := det.Epoch()
	// ... read the state that the process is about to act on ...
	fmt.Println("paused since:", det.Epoch() != epoch)
	// Output:
	// paused since: false
}
