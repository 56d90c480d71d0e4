package telemetry

// Events of the daemon.
const (
	EventDaemonStarted       Event = 1001
	EventDrainStarted        Event = 1004
	EventDrainAnswersExpired Event = 1005
	EventDrainCompleted      Event = 1006
	EventDrainLimitReached   Event = 1007
	EventIsolationBegan      Event = 1008
	EventIsolationEnded      Event = 1009
	EventDaemonStopped       Event = 1010
	EventRecordingFailed     Event = 1012
	EventSettingsReloaded    Event = 1013
	EventSettingsRefused     Event = 1014
	EventLinesLeftOut        Event = 1015
	EventStoodStill          Event = 1016
)

// Events of the membership.
const (
	EventMemberJoined          Event = 1101
	EventMemberSuspected       Event = 1102
	EventMemberRefuted         Event = 1103
	EventMemberDied            Event = 1104
	EventMemberLeft            Event = 1105
	EventSelfSuspected         Event = 1107
	EventIncarnationSuperseded Event = 1108
)

// Events of documents.
const (
	EventDocumentApplied        Event = 1201
	EventDocumentAccepted       Event = 1202
	EventDocumentConflict       Event = 1203
	EventDocumentRefused        Event = 1204
	EventDocumentOutcomeUnknown Event = 1205
	EventDocumentUnreadable     Event = 1206
)

// Events of requests.
const (
	EventRequestRefused      Event = 1301
	EventRequestFailed       Event = 1302
	EventRequestUnknown      Event = 1303
	EventRequestRetried      Event = 1304
	EventRequestTakenOver    Event = 1305
	EventOwnershipLost       Event = 1306
	EventRequestImplicated   Event = 1307
	EventRequestQuarantined  Event = 1308
	EventOrderBroken         Event = 1311
	EventRetryBudgetEmpty    Event = 1312
	EventCustomerLimited     Event = 1313
	EventQueueFull           Event = 1314
	EventPathRefused         Event = 1315
	EventHopSilent           Event = 1316
	EventStreamBroken        Event = 1317
	EventStreamLate          Event = 1318
	EventStreamSilent        Event = 1319
	EventRequestSent         Event = 1320
	EventRequestAnswered     Event = 1321
	EventRequestWithdrawn    Event = 1322
	EventCallerLeft          Event = 1323
	EventCallBroken          Event = 1324
	EventContentCleared      Event = 1325
	EventRetryShare          Event = 1326
	EventConnectSlow         Event = 1327
	EventCutOffBegan         Event = 1328
	EventCutOffEnded         Event = 1329
	EventTurnAwaited         Event = 1330
	EventPartRefused         Event = 1331
	EventRetryLate           Event = 1332
	EventRetryRecords        Event = 1333
	EventRetriesInherited    Event = 1334
	EventRefusalUnproven     Event = 1335
	EventStreamTurnedAway    Event = 1340
	EventQueueWaited         Event = 1345
	EventQueueRejected       Event = 1346
	EventCustomerOverShare   Event = 1350
	EventCustomerWithinShare Event = 1351
	EventAnswerSize          Event = 1355
)

// Events of the store.
const (
	EventStoreUnavailable        Event = 1401
	EventStoreRecovered          Event = 1402
	EventStoreBudgetSpent        Event = 1404
	EventClaimVoided             Event = 1406
	EventInstanceListUnavailable Event = 1408
	EventStoreStale              Event = 1409
	EventStoreRestored           Event = 1410
)

// Events of leases and orders.
const (
	EventLeaseAcquired     Event = 1501
	EventLeaseLost         Event = 1502
	EventLeaseReleased     Event = 1503
	EventOrderSent         Event = 1504
	EventOrderApplied      Event = 1505
	EventOrderStale        Event = 1506
	EventOrderUndone       Event = 1507
	EventOrdersFrozen      Event = 1508
	EventPlacementChanged  Event = 1509
	EventPlacementShort    Event = 1510
	EventPlacementRepaired Event = 1511
)

// Events of backend servers.
const (
	EventBackendLeaving    Event = 1602
	EventBackendDied       Event = 1603
	EventBackendRecovered  Event = 1604
	EventBackendJoined     Event = 1609
	EventBackendUnreadable Event = 1610
	EventBackendDead       Event = 1611
	EventLayersListed      Event = 1612
	EventFeedSource        Event = 1613
	EventRowsUnreadable    Event = 1614
	EventEntryOutdated     Event = 1615
	EventBackendRestarted  Event = 1616
	EventBackendRefusing   Event = 1617
	EventNoticeUnreadable  Event = 1618
	EventFeedGiven         Event = 1619
	EventBackendLimited    Event = 1620
	EventBackendRetryAfter Event = 1621
	EventBackendDeparting  Event = 1622
	EventHeaderUnreadable  Event = 1623
	EventHeaderUnknown     Event = 1624
	EventBackendPace       Event = 1625
	EventBackendFailed     Event = 1626
	EventBackendEjected    Event = 1627
	EventBackendReturned   Event = 1628
	EventBackendToldSilent Event = 1629
	EventBackendUnverified Event = 1630
	EventReplicaUp         Event = 1606
	EventReplicaDown       Event = 1607
	EventCacheEventsMissed Event = 1608
)

// Events of the transport.
const (
	EventConnectionSilent Event = 1703
	EventFrameRefused     Event = 1704
)
