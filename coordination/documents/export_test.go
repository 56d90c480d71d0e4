package documents

// MakePatch lets tests create the patch of an Announce.
var MakePatch = makePatch
