package org.mangorack.bench;

import java.io.File;
import java.nio.file.Path;

import org.mangorack.bench.fault.FaultProxy;

/**
 * An instance of a test fleet.
 */
final class Member {

	String name;

	String host;

	String callers;

	String operators;

	Path settings;

	File log;

	FaultProxy platformProxy;

	FaultProxy peerProxy;

	Process process;

}
