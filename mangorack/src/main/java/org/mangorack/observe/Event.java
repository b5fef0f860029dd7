package org.mangorack.observe;

import org.apache.logging.log4j.Level;

/**
 * The numbered log events. The catalogue in {@code docs/EVENTS.md} explains each.
 */
public enum Event {

	/** The instance accepts calls. */
	INSTANCE_STARTED(1001, Level.INFO, "instance started"),

	/** A graceful shutdown started. */
	DRAIN_STARTED(1002, Level.INFO, "drain started"),

	/** A graceful shutdown finished. */
	INSTANCE_STOPPED(1003, Level.INFO, "instance stopped"),

	/** The lease was created. */
	LEASE_CREATED(1101, Level.INFO, "lease created"),

	/** The lease was not renewed in time and has expired. */
	LEASE_LAPSED(1102, Level.WARN, "lease lapsed"),

	/** The lease is valid again. */
	LEASE_REGAINED(1103, Level.INFO, "lease regained"),

	/** Another instance took over the lease or journal of this process. */
	INSTANCE_FENCED(1104, Level.ERROR, "instance fenced"),

	/** Shards of another instance were taken over. */
	SHARDS_TAKEN(1201, Level.INFO, "shards taken over"),

	/** A shard was handed to another instance. */
	SHARD_HANDED_OVER(1202, Level.INFO, "shard handed over"),

	/** A shard was loaded and accepts calls. */
	SHARD_LOADED(1203, Level.INFO, "shard loaded"),

	/** A shard could not be loaded; loading is retried. */
	SHARD_LOAD_FAILED(1204, Level.WARN, "shard load failed"),

	/** A journal was sealed, so that its previous writer can no longer append. */
	JOURNAL_SEALED(1301, Level.INFO, "journal sealed"),

	/** A journal write failed and is retried. */
	JOURNAL_WRITE_FAILED(1302, Level.WARN, "journal write failed"),

	/** The journal was replaced by a checkpoint of its live entries. */
	JOURNAL_COMPACTED(1303, Level.INFO, "journal compacted"),

	/** A journal that no shard needs was deleted. */
	JOURNAL_DELETED(1304, Level.INFO, "journal deleted"),

	/** The object API does not respond. */
	PLATFORM_UNREACHABLE(1401, Level.WARN, "platform unreachable"),

	/** The object API responds again. */
	PLATFORM_REACHABLE(1402, Level.INFO, "platform reachable"),

	/** A watch ended and is started again. */
	WATCH_RESTARTED(1403, Level.INFO, "watch restarted"),

	/** An object of the platform could not be read and is left out. */
	OBJECT_UNREADABLE(1405, Level.WARN, "object unreadable"),

	/** This instance applied a newer configuration. */
	CONFIGURATION_IN_FORCE(1501, Level.INFO, "configuration in force"),

	/** A stored configuration could not be read. */
	CONFIGURATION_UNREADABLE(1502, Level.ERROR, "configuration unreadable"),

	/** A configuration document was received from another instance. */
	CONFIGURATION_RECEIVED(1503, Level.INFO, "configuration received"),

	/** A key was created. */
	KEY_CREATED(1511, Level.INFO, "key created"),

	/** A key was withdrawn. */
	KEY_WITHDRAWN(1512, Level.INFO, "key withdrawn"),

	/** A connection to another instance was established. */
	PEER_CONNECTED(1601, Level.INFO, "peer connected"),

	/** A connection to another instance failed or timed out. */
	PEER_LOST(1602, Level.WARN, "peer lost"),

	/** A connection from an unknown peer was refused. */
	PEER_REFUSED(1603, Level.WARN, "peer refused"),

	/** Calls with a key are refused because the configuration may be out of date. */
	SERVING_SUSPENDED(1604, Level.WARN, "serving suspended"),

	/** Calls with a key are accepted again. */
	SERVING_RESUMED(1605, Level.INFO, "serving resumed"),

	/** The response of another instance was interrupted. */
	CALL_BROKE_OFF(1606, Level.WARN, "call broke off"),

	/** An upstream call failed. */
	UPSTREAM_FAILED(1701, Level.WARN, "upstream call failed"),

	/** A call is retried on another upstream. */
	CALL_RETRIED(1702, Level.INFO, "call retried"),

	/** A program ended. */
	PROGRAM_ENDED(1801, Level.INFO, "program ended"),

	/** An upstream confirmed the release of engine memory. */
	RELEASE_CONFIRMED(1802, Level.DEBUG, "release confirmed"),

	/** An upstream did not confirm a release; it is retried. */
	RELEASE_FAILED(1803, Level.WARN, "release failed"),

	/** A request was refused. */
	REQUEST_REFUSED(1901, Level.DEBUG, "request refused"),

	/** A caller closed its connection before the response was complete. */
	CALLER_GONE(1902, Level.DEBUG, "caller gone"),

	/** An unexpected error; a defect of this program. */
	INTERNAL_ERROR(1998, Level.ERROR, "internal error"),

	/** An invariant was violated; a defect of this program. */
	INVARIANT_VIOLATED(1999, Level.FATAL, "invariant violated"),

	/** A restarted watch delivers changes again. */
	WATCH_REGAINED(1404, Level.INFO, "watch regained"),

	/** The first connection to a keeper was established. */
	KEEPER_CONNECTED(2001, Level.INFO, "keeper connected"),

	/** A connection to a keeper failed. */
	KEEPER_LOST(2002, Level.WARN, "keeper lost"),

	/** A keeper replies again, on its former connection or a new one. */
	KEEPER_REGAINED(2003, Level.INFO, "keeper regained"),

	/** A keeper did not reply to requests in time; its connection is not used. */
	KEEPER_SILENT(2004, Level.WARN, "keeper silent"),

	/** A client connection to this keeper failed. */
	KEEPER_CALLER_LOST(2005, Level.INFO, "connection to this keeper lost"),

	/** A newer view of the keeper group was adopted. */
	GROUP_VIEW(2011, Level.INFO, "group view adopted"),

	/** This keeper changes the membership of the keeper group. */
	GROUP_CHANGE(2012, Level.INFO, "group change"),

	/** A change of the keeper group failed and is retried. */
	GROUP_CHANGE_FAILED(2013, Level.WARN, "group change failed"),

	/** A joining disk has copied all entries that it must hold. */
	DISK_CAUGHT_UP(2014, Level.INFO, "disk caught up"),

	/** Enough members of the keeper group lack a turn for it to be reported as absent. */
	TURN_ABSENT(2015, Level.INFO, "turn absent"),

	/** This keeper reads the object of the group, because the known one is outdated. */
	GROUP_READ(2016, Level.INFO, "group read"),

	/** The log of a keeper ends in a partially written entry. */
	LOG_TORN(2021, Level.INFO, "log ends in a torn entry"),

	/** The log of a keeper could not be written. */
	LOG_FAILED(2022, Level.ERROR, "log failed"),

	/** The log of a keeper is written again after it failed. */
	LOG_RECOVERED(2023, Level.INFO, "log recovered"),

	/** A request was served. */
	RELAY_SERVED(2101, Level.INFO, "request served"),

	/** A request was refused. */
	RELAY_REFUSED(2102, Level.INFO, "request turned away"),

	/** A request ended before its response was complete. */
	RELAY_BROKEN(2103, Level.WARN, "request broken off"),

	/** The caller disconnected before its response was complete. */
	RELAY_ABANDONED(2104, Level.INFO, "request abandoned by caller"),

	/** An interrupted stream was resumed at another upstream. */
	STREAM_RESUMED(2105, Level.INFO, "stream resumed"),

	/** An attempt at an upstream failed. */
	ATTEMPT_FAILED(2111, Level.INFO, "attempt failed"),

	/** An upstream sent bytes that do not belong to any request. */
	STRAY_ANSWER(2112, Level.INFO, "stray bytes of an upstream dropped"),

	/** A caller sent a malformed request. */
	CALLER_MALFORMED(2121, Level.INFO, "malformed request"),

	/**
	 * The bytes held for all calls exceeded the limit; their largest holder was ended.
	 */
	HOLDER_GIVEN_UP(2131, Level.WARN, "largest holder of memory given up"),

	/** An upstream was added. */
	UPSTREAM_IN_USE(2201, Level.INFO, "upstream in use"),

	/** An upstream no longer receives new requests. */
	UPSTREAM_OUT_OF_USE(2202, Level.INFO, "upstream out of use"),

	/** The announcement of an upstream could not be parsed. */
	UPSTREAM_UNREADABLE(2203, Level.WARN, "upstream entry unreadable"),

	/** An upstream is excluded from selection after failures. */
	UPSTREAM_AVOIDED(2204, Level.WARN, "upstream avoided"),

	/** The calls in flight at an upstream are limited, as it starts or recovers. */
	UPSTREAM_STARTING(2205, Level.INFO, "upstream limited at its start"),

	/** An upstream that started answers as well as others and is no longer limited. */
	UPSTREAM_STARTED(2206, Level.INFO, "upstream no longer limited"),

	/** The set of data centres that get no requests has changed. */
	EVACUATIONS_CHANGED(2207, Level.INFO, "evacuated data centres changed"),

	/** The configuration was last confirmed too long ago to accept keyed requests. */
	CONFIGURATION_STALE(2211, Level.WARN, "configuration too old for keyed requests"),

	/** The configuration is confirmed again. */
	CONFIGURATION_CONFIRMED(2212, Level.INFO, "configuration confirmed again"),

	/** The settings were reloaded. */
	SETTINGS_RELOADED(2301, Level.INFO, "settings read again"),

	/** The settings could not be reloaded; the previous ones remain in use. */
	SETTINGS_REFUSED(2302, Level.ERROR, "settings refused"),

	/** Log records were suppressed since the last report, to limit the log volume. */
	RECORDS_LEFT_OUT(2311, Level.INFO, "records left out"),

	/** The event loop ran a task much later than it was due. */
	LOOP_LATE(2321, Level.WARN, "event loop late");

	private final int number;

	private final Level level;

	private final String text;

	Event(int number, Level level, String text) {
		this.number = number;
		this.level = level;
		this.text = text;
	}

	/**
	 * Returns the number of the event in the catalogue.
	 * @return the event number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level at which the event is logged.
	 * @return the log level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the message of the event.
	 * @return the constant message
	 */
	public String text() {
		return this.text;
	}

}
