package org.mangorack.bench.fault;

/**
 * What a proxy does with the bytes of one direction.
 */
public enum LinkFault {

	/** Bytes pass. */
	NONE,

	/** Bytes are held back; connections stay open. */
	SILENT,

	/** Bytes pass late. */
	SLOW,

	/** Connections are closed, and new ones are refused. */
	CLOSED

}
