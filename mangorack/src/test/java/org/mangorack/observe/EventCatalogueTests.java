package org.mangorack.observe;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventCatalogueTests {

	@Test
	void catalogueListsEveryEvent() throws IOException {
		String catalogue = Files.readString(Path.of("../docs/EVENTS.md"));
		for (Event event : Event.values()) {
			assertThat(catalogue).contains("| " + event.number() + " | " + event.level() + " | " + event.text() + " |");
		}
	}

	@Test
	void numbersAreUnique() {
		assertThat(Arrays.stream(Event.values()).map(Event::number)).doesNotHaveDuplicates();
	}

}
