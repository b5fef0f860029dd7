package org.mangorack.upstream;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.call.Jsons;
import org.mangorack.config.Upstream;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * Reads the events of a stream of a model engine. If the connection breaks or a read
 * times out, the stream is resumed on a new connection, after the last event received.
 */
public final class EventReader implements Closeable {

	private static final String DATA = "data: ";

	private static final String DONE = "[DONE]";

	private static final int MAX_RESUMES = 3;

	private static final int MAX_LINE_BYTES = 1024 * 1024;

	private static final long MAX_STREAM_BYTES = 32L * 1024 * 1024;

	private final UpstreamClient client;

	private final Upstream upstream;

	private final String streamId;

	private final Duration readTimeout;

	private HttpReply reply;

	private BufferedReader lines;

	private int receivedEvents;

	private int resumes;

	/**
	 * Creates a reader.
	 * @param client resumes and cancels the stream
	 * @param upstream the model engine
	 * @param reply the response whose body is the stream
	 * @param readTimeout the maximum time to wait for data from the engine
	 * @throws IOException if the body cannot be opened
	 */
	public EventReader(UpstreamClient client, Upstream upstream, HttpReply reply, Duration readTimeout)
			throws IOException {
		this.client = client;
		this.upstream = upstream;
		this.streamId = reply.header(UpstreamClient.STREAM_ID, "");
		this.readTimeout = readTimeout;
		open(reply);
	}

	/**
	 * Reads the next event.
	 * @return the event, or empty at the end of a complete stream
	 * @throws IOException if the stream was interrupted and could not be resumed
	 */
	public Optional<JsonNode> next() throws IOException {
		while (true) {
			try {
				Optional<JsonNode> event = readEvent();
				this.receivedEvents++;
				return event;
			}
			catch (IOException ex) {
				resume(ex);
			}
		}
	}

	/**
	 * Cancels the stream, so that the engine stops generating.
	 */
	public void cancel() {
		if (!this.streamId.isEmpty()) {
			this.client.cancel(this.upstream, this.streamId);
		}
	}

	@Override
	public void close() {
		this.reply.close();
	}

	private Optional<JsonNode> readEvent() throws IOException {
		for (String line = this.lines.readLine(); line != null; line = this.lines.readLine()) {
			if (line.equals(DATA + DONE)) {
				drain();
				return Optional.empty();
			}
			if (line.startsWith(DATA)) {
				return Optional.of(parse(line.substring(DATA.length())));
			}
		}
		throw new IOException("stream of " + this.upstream.id() + " ended before its last event");
	}

	// The event may belong to another caller, whose data this one must not see.
	private JsonNode parse(String event) throws IOException {
		try {
			return Jsons.MAPPER.readTree(event);
		}
		catch (JsonProcessingException ex) {
			EventLog.log(Event.STRAY_ANSWER, "upstream", this.upstream.id(), "cause", "an event that cannot be read",
					"problem", ex.getMessage());
			throw new IOException("stream of " + this.upstream.id() + " has an event that cannot be read", ex);
		}
	}

	/**
	 * Reads to the end of the body, so that the connection can be reused.
	 */
	private void drain() throws IOException {
		while (this.lines.readLine() != null) {
			continue;
		}
	}

	private void resume(IOException cause) throws IOException {
		this.reply.close();
		if (this.streamId.isEmpty() || (this.resumes >= MAX_RESUMES)) {
			throw cause;
		}
		this.resumes++;
		try {
			HttpReply next = this.client.resume(this.upstream, this.streamId, this.receivedEvents, this.readTimeout);
			if (next.status() != 200) {
				next.close();
				throw cause;
			}
			open(next);
		}
		catch (HttpCallException ex) {
			cause.addSuppressed(ex);
			throw cause;
		}
	}

	private void open(HttpReply opened) throws IOException {
		this.reply = opened;
		this.reply.setReadTimeout(this.readTimeout);
		this.lines = opened.lines(MAX_LINE_BYTES, MAX_STREAM_BYTES);
	}

}
