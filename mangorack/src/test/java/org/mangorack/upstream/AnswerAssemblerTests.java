package org.mangorack.upstream;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import org.mangorack.call.Jsons;

import static org.assertj.core.api.Assertions.assertThat;

class AnswerAssemblerTests {

	private final AnswerAssembler assembler = new AnswerAssembler();

	@Test
	void joinsContentAndUsage() throws IOException {
		add("{\"id\":\"x\",\"model\":\"m\",\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"a\"}}]}");
		add("{\"choices\":[{\"delta\":{\"content\":\"b\"},\"finish_reason\":null}]}");
		assertThat(this.assembler.isComplete()).isFalse();
		add("{\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}");
		add("{\"choices\":[],\"usage\":{\"total_tokens\":7}}");
		assertThat(this.assembler.isComplete()).isTrue();
		assertThat(this.assembler.totalTokens()).isEqualTo(7);
		assertThat(this.assembler.answer().path("choices").path(0).path("message").toString())
			.isEqualTo("{\"role\":\"assistant\",\"content\":\"ab\"}");
	}

	@Test
	void joinsToolCallsByIndex() throws IOException {
		add("{\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0,\"id\":\"t\",\"type\":\"function\","
				+ "\"function\":{\"name\":\"book\",\"arguments\":\"{\\\"a\\\"\"}}]}}]}");
		add("{\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\":1}\"}}]}}]}");
		assertThat(this.assembler.message().path("tool_calls").path(0).path("function").toString())
			.isEqualTo("{\"name\":\"book\",\"arguments\":\"{\\\"a\\\":1}\"}");
	}

	private void add(String event) throws IOException {
		this.assembler.add(Jsons.MAPPER.readTree(event));
	}

}
