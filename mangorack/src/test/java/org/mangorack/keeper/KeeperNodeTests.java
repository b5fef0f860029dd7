package org.mangorack.keeper;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.http.HttpAddress;
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests for {@link KeeperNode}.
 */
class KeeperNodeTests {

	@TempDir
	Path folder;

	// Guards against a failure in the shutdown hook of a process that is stopped during
	// its start.
	@Test
	void aKeeperThatIsNotStartedCanBeStopped() {
		HttpAddress address = HttpAddress.parse("127.0.0.1:1");
		KeeperNode keeper = new KeeperNode(
				new KeeperSettings("keeper-1", "dc", address, null, address, this.folder, 0, true), null, null, null,
				new Metrics());
		assertThatCode(keeper::stop).doesNotThrowAnyException();
		keeper.close();
	}

}
