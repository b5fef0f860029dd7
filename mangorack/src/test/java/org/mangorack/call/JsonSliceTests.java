package org.mangorack.call;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests for {@link JsonSlice}.
 */
class JsonSliceTests {

	// The stack size of the threads of an entry or keeper.
	private static final long STACK_BYTES = 256 * 1024;

	@ParameterizedTest
	@ValueSource(
			strings = { "", " ", "{", "[1,2", "{\"a\":", "\"a", "\"a\\\"", "{\"a\":\"}", "1 2", "{}}", "[],", "," })
	void aDocumentThatIsNotOneWholeValueIsRejected(String document) {
		assertThatIOException().isThrownBy(() -> slice(document));
	}

	@Test
	void bracketsAndQuotesInStringsDelimitNothing() throws IOException {
		JsonSlice slice = slice(" { \"a\" : \"]}\\\"{\" , \"b\":[ \"[\" ,{}] } ");
		assertThat(slice.fields()).containsOnlyKeys("a", "b");
		assertThat(slice.find("a").orElseThrow().parse().asText()).isEqualTo("]}\"{");
		assertThat(slice.find("b").orElseThrow().elements()).hasSize(2);
		assertThat(slice.find("a", "b")).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "[1 2]", "[1:2]", "{}", "1" })
	void aValueThatIsNoArrayHasNoElements(String document) {
		assertThatIOException().isThrownBy(() -> slice(document).elements());
	}

	@Property(seed = "4711", tries = 300)
	void slicesOfAValueParseAsItsParts(@ForAll("trees") JsonNode tree) throws IOException {
		for (String text : new String[] { tree.toString(), tree.toPrettyString() }) {
			JsonSlice slice = slice(text);
			assertThat(slice.parse()).isEqualTo(tree);
			assertThat(rebuild(slice, tree)).isEqualTo(tree);
		}
	}

	@Test
	void theDeepestValueThatIsReadFitsOnASmallStack() throws InterruptedException {
		AtomicReference<Throwable> failure = new AtomicReference<>();
		Thread thread = new Thread(null, () -> useDeepestValues(), "small-stack", STACK_BYTES);
		thread.setUncaughtExceptionHandler((t, ex) -> failure.set(ex));
		thread.start();
		thread.join();
		assertThat(failure.get()).isNull();
	}

	@ParameterizedTest
	@ValueSource(ints = { JsonSlice.MAX_DEPTH + 1, 1000, 100_000 })
	void aValueThatIsNestedTooDeeplyIsNotParsed(int depth) throws IOException {
		JsonSlice slice = slice("[1," + nested("{\"a\":", depth, "}") + "]").elements().get(1);
		assertThatIOException().isThrownBy(slice::parse).withMessageContaining(Integer.toString(depth));
	}

	private static void useDeepestValues() {
		try {
			for (String text : new String[] { nested("[", JsonSlice.MAX_DEPTH, "]"),
					nested("{\"a\":", JsonSlice.MAX_DEPTH, "}") }) {
				JsonNode tree = slice(text).parse();
				JsonNode copy = tree.deepCopy();
				assertThat(copy.equals(tree)).isTrue();
				assertThat(copy.hashCode()).isEqualTo(tree.hashCode());
				assertThat(copy.toString()).isEqualTo(text);
				assertThat(Jsons.bytes(copy)).isEqualTo(text.getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private static JsonNode rebuild(JsonSlice slice, JsonNode like) throws IOException {
		if (like.isArray()) {
			ArrayNode array = Jsons.MAPPER.createArrayNode();
			for (int i = 0; i < like.size(); i++) {
				array.add(rebuild(slice.elements().get(i), like.get(i)));
			}
			return array;
		}
		if (like.isObject()) {
			ObjectNode object = Jsons.object();
			for (String name : slice.fields().keySet()) {
				object.set(name, rebuild(slice.find(name).orElseThrow(), like.get(name)));
			}
			return object;
		}
		return slice.parse();
	}

	@Provide
	Arbitrary<JsonNode> trees() {
		Arbitrary<String> texts = Arbitraries.strings().withChars("ab\"\\[]{},: \u00e9\u2028\n").ofMaxLength(8);
		Arbitrary<String> names = Arbitraries.strings().withChars("ab[]{},: \u00e9").ofMaxLength(4);
		Arbitrary<JsonNode> leaves = Arbitraries.oneOf(texts.map((t) -> Jsons.MAPPER.getNodeFactory().textNode(t)),
				Arbitraries.integers().map((i) -> Jsons.MAPPER.getNodeFactory().numberNode(i)),
				Arbitraries.of(true, false).map((b) -> Jsons.MAPPER.getNodeFactory().booleanNode(b)),
				Arbitraries.just(Jsons.MAPPER.getNodeFactory().nullNode()));
		return Arbitraries.recursive(() -> leaves, (inner) -> Arbitraries.oneOf(inner.list().ofMaxSize(3).map((l) -> {
			ArrayNode array = Jsons.MAPPER.createArrayNode();
			array.addAll(l);
			return (JsonNode) array;
		}), Arbitraries.maps(names, inner).ofMaxSize(3).map((m) -> (JsonNode) Jsons.object().setAll(m))), 0, 4);
	}

	private static String nested(String open, int depth, String close) {
		String innermost = open.equals("[") ? "" : "1";
		return open.repeat(depth) + innermost + close.repeat(depth);
	}

	private static JsonSlice slice(String text) throws IOException {
		return JsonSlice.of(text.getBytes(StandardCharsets.UTF_8));
	}

}
