package org.mangorack.bench.fault;

/**
 * The fault that a {@link FaultProxy} applies to one direction of a connection.
 */
public enum LinkFault {

	/** Data is forwarded unchanged. */
	NONE,

	/** Data is withheld while connections stay open. */
	SILENT,

	/** Data is forwarded with a delay. */
	SLOW,

	/** Connections are closed, and new connections are closed on arrival. */
	CLOSED

}
