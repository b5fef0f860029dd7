package org.mangorack.keeper;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.call.Jsons;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link GroupDocument}.
 */
class GroupDocumentTests {

	private static final String GROUP = """
			{"epoch":3,"members":[
			{"instance":"k1","disk":"d1","host":"127.0.0.1","port":81,"dataCentre":"z"},
			{"instance":"k2","disk":"d2","host":"127.0.0.1","port":82,"dataCentre":"z"}],"next":[]}""";

	@Test
	void allMembersAreRead() throws IOException {
		assertThat(GroupDocument.read(Jsons.MAPPER.readTree(GROUP), 0).members()).hasSize(2);
	}

	// A view that leaves a member out, or has another one, counts wrong quorums.
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "\"port\":82 | \"port\":65618", "\"port\":82 | \"port\":4294967378", "\"port\":82 | \"port\":0",
					"\"port\":82 | \"port\":\"82\"", "\"disk\":\"d2\" | \"disk\":2", "\"disk\":\"d2\" | \"disk\":\"\"",
					"\"instance\":\"k2\" | \"x\":1", "\"epoch\":3 | \"epoch\":18446744073709551619",
					"\"epoch\":3 | \"epoch\":3.5", "\"epoch\":3 | \"x\":1" })
	void aGroupWithAnInvalidValueIsRejected(String from, String to) {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> GroupDocument.read(Jsons.MAPPER.readTree(GROUP.replace(from, to)), 0));
	}

}
