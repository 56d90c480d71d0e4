package documents

// MakePatch lets tests build the patch of an Announce.
var MakePatch = makePatch
