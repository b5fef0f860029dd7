package org.mangorack.observe;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.MapMessage;

/**
 * Formats a log record as one line of JSON: time, instance and role of the process,
 * level, thread, event fields, and the stack trace of the cause.
 */
final class EventLayout extends AbstractStringLayout {

	private static final JsonFactory JSON = new JsonFactory();

	private static final DateTimeFormatter TIME = new DateTimeFormatterBuilder().appendInstant(3).toFormatter();

	private final Supplier<LogOrigin> origin;

	/**
	 * Creates a layout.
	 * @param origin supplies the origin of the records
	 */
	EventLayout(Supplier<LogOrigin> origin) {
		super(StandardCharsets.UTF_8);
		this.origin = origin;
	}

	@Override
	public String toSerializable(LogEvent record) {
		StringWriter line = new StringWriter(256);
		try (JsonGenerator json = JSON.createGenerator(line)) {
			json.writeStartObject();
			json.writeStringField("time", TIME.format(Instant.ofEpochMilli(record.getInstant().getEpochMillisecond())));
			// The raw text starts with its own comma: writeRaw does not change the state
			// of the generator, which still expects to follow the time field.
			json.writeRaw(this.origin.get().fields());
			json.writeStringField("level", record.getLevel().name());
			json.writeStringField("thread", record.getThreadName());
			writeEvent(json, record);
			if (record.getThrown() != null) {
				json.writeStringField("error", stackTrace(record.getThrown()));
			}
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot write JSON to a string", ex);
		}
		return line.append('\n').toString();
	}

	@Override
	public String getContentType() {
		return "application/json";
	}

	// Records of libraries have a plain text instead of event fields.
	private static void writeEvent(JsonGenerator json, LogEvent record) throws IOException {
		if (!(record.getMessage() instanceof MapMessage<?, ?> fields)) {
			json.writeStringField("event", record.getMessage().getFormattedMessage());
			return;
		}
		json.writeObjectFieldStart("event");
		for (Map.Entry<String, ?> field : fields.getData().entrySet()) {
			json.writeStringField(field.getKey(), String.valueOf(field.getValue()));
		}
		json.writeEndObject();
	}

	private static String stackTrace(Throwable thrown) {
		StringWriter text = new StringWriter();
		thrown.printStackTrace(new PrintWriter(text));
		return text.toString();
	}

}
