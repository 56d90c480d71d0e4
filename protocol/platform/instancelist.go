package platform

// InstanceListRequest asks another daemon for the instance list that it read
// last, starting at a row: a list may exceed the size of a message.
type InstanceListRequest struct {
	From int `msgpack:"f"`
}

// InstanceListPage is the answer to an InstanceListRequest: rows of the list,
// sorted by id. Total is 0 if the daemon has not read a list.
type InstanceListPage struct {
	Rows  []Instance `msgpack:"r"`
	Total int        `msgpack:"t"`
}

// MaxInstanceListPage is the maximum number of rows in one InstanceListPage.
const MaxInstanceListPage = 2000
