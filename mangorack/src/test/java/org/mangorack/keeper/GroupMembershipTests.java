package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupMembership} over real connections, in steps that the tests order.
 */
class GroupMembershipTests {

	private static final int MAX_ROUNDS = 20;

	@TempDir
	Path folder;

	private TestGroup group;

	@AfterEach
	void stop() throws IOException {
		if (this.group != null) {
			this.group.close();
		}
	}

	// Guards against a group that is short of members without any sign of it.
	@Test
	void theTimeInWhichALostDiskIsNotReplacedIsCounted() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		this.group.step("k0");
		assertThat(this.group.membership("k0").timeShortOfMembers()).isZero();
		this.group.loseDisk("k0");
		this.group.kill("k1");
		this.group.step("k0");
		this.group.advance(Duration.ofSeconds(3));
		assertThat(this.group.membership("k0").timeShortOfMembers()).isGreaterThanOrEqualTo(Duration.ofSeconds(3));
		this.group.start("k1");
		assertThat(this.group.stepUntilComplete(MAX_ROUNDS)).as("group %s", this.group.view()).isTrue();
		this.group.step("k0");
		assertThat(this.group.membership("k0").timeShortOfMembers()).isZero();
	}

}
