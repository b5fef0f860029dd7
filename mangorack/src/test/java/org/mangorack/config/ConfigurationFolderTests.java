package org.mangorack.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationFolderTests {

	private static final String SERVICE = """
			{"upstreams":{"desk-1":{"kind":"service","pool":"desk","address":"127.0.0.1:1","dataCentre":"dc1"}}}""";

	@TempDir
	Path folder;

	@Test
	void laterFilesOverrideEarlierOnesAndNullRemovesAField() throws IOException {
		write("10.json", "{\"workspaces\":{\"a\":{\"weight\":1,\"maxTurns\":5},\"b\":{}}}");
		write("20.json", "{\"workspaces\":{\"a\":{\"weight\":3},\"b\":null}}");
		JsonNode merged = ConfigurationFolder.read(this.folder).get();
		assertThat(merged.toString()).isEqualTo("{\"workspaces\":{\"a\":{\"weight\":3,\"maxTurns\":5}}}");
	}

	@Test
	void everyProblemReportsFilePathAndValue() throws IOException {
		write("10.json", "{\"workspaces\":{\"a\":{\"weight\":-1,\"colour\":\"red\"}}}");
		write("20.json",
				"{\"workspaces\":{\"a\":{\"pools\":[\"none\"]}},\"routes\":{\"r\":{\"pool\":\"x\",\"path\":\"y\"}}}");
		write("30.json", "not JSON");
		Either<List<Problem>, JsonNode> read = ConfigurationFolder.read(this.folder);
		List<String> problems = read.getLeft().stream().map(Problem::toString).toList();
		assertThat(problems).hasSize(6)
			.anyMatch((p) -> p.startsWith("10.json: $.workspaces.a.weight: -1 "))
			.anyMatch((p) -> p.startsWith("10.json: $.workspaces.a.colour: \"red\" is an unknown field"))
			.anyMatch((p) -> p.startsWith("20.json: $.workspaces.a.pools: names \"none\""))
			.anyMatch((p) -> p.startsWith("20.json: $.routes.r.path: \"y\""))
			.anyMatch((p) -> p.startsWith("20.json: $.routes.r.pool: names \"x\""))
			.anyMatch((p) -> p.startsWith("30.json: $: is not valid JSON"));
	}

	@Test
	void routeWithTheLongestPathIsUsed() throws IOException {
		write("10.json", SERVICE);
		write("20.json", """
				{"routes":{"all":{"pool":"desk","path":"/"},
				"read":{"pool":"desk","path":"/read","methods":["GET"],"idempotent":true}}}""");
		Configuration configuration = Configuration.read(1, ConfigurationFolder.read(this.folder).get(), Map.of())
			.get();
		assertThat(name(configuration.route("desk", "GET", "/read/1"))).isEqualTo("read");
		assertThat(name(configuration.route("desk", "POST", "/read/1"))).isEqualTo("all");
		assertThat(name(configuration.route("desk", "GET", "/reading"))).isEqualTo("all");
		assertThat(configuration.route("other", "GET", "/read")).isEmpty();
	}

	@Test
	void openRouteMustBeIdempotent() throws IOException {
		write("10.json", SERVICE);
		write("20.json", "{\"routes\":{\"r\":{\"pool\":\"desk\",\"path\":\"/\",\"open\":true}}}");
		assertThat(ConfigurationFolder.read(this.folder).getLeft().get(0).toString()).contains("$.routes.r.open",
				"only allowed on idempotent routes");
	}

	@Test
	void examplesAreValid() {
		assertThat(ConfigurationFolder.read(Path.of("../examples/config")).isRight()).isTrue();
	}

	private static String name(Optional<Route> route) {
		return route.map(Route::name).orElse("none");
	}

	private void write(String name, String text) throws IOException {
		Files.writeString(this.folder.resolve(name), text);
	}

}
