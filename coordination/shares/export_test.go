package shares

// Exported for tests.
const (
	GatherTime     = gatherTime
	ReliefShare    = reliefShare
	MaxListed      = maxListed
	ShareUnits     = shareUnits
	StaleAfter     = staleAfter
	NoticeInterval = noticeInterval
)

// DepthFor exports depthFor.
var DepthFor = depthFor

// FairShare exports fairShare for customers that are all listed.
func FairShare(wanted, weights []float64, admitted float64) float64 {
	demands := make([]demand, len(wanted))
	for i := range wanted {
		demands[i] = demand{wanted: wanted[i], weight: weights[i]}
	}
	return fairShare(demands, 0, 0, admitted)
}
