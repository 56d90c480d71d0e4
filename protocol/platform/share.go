package platform

// ListAsk asks another daemon for the instance list that it read last, from a
// row on: a list may be longer than a message.
type InstanceListRequest struct {
	From int `msgpack:"f"`
}

// ListTold answers ListAsk with rows of the list in the order of their ids.
// Total is 0 where the daemon has read none.
type InstanceListPage struct {
	Rows  []Instance `msgpack:"r"`
	Total int        `msgpack:"t"`
}

// MaxListRows is how many rows one ListTold holds at most.
const MaxInstanceListPage = 2000
