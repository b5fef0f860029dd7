package org.mangorack.member;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;

/**
 * Sends a response body to another instance with credit-based flow control: a write
 * blocks while the receiver has granted no credit.
 */
final class CreditOutputStream extends OutputStream {

	/**
	 * Number of bytes that may be sent before the receiver grants credit.
	 */
	static final int INITIAL_CREDIT = 256 * 1024;

	private static final int MAX_CHUNK_BYTES = 32 * 1024;

	private static final Duration CREDIT_TIMEOUT = Duration.ofSeconds(30);

	private final Consumer<ByteString> sender;

	private int credit = INITIAL_CREDIT;

	private boolean cancelled;

	CreditOutputStream(Consumer<ByteString> sender) {
		this.sender = sender;
	}

	@Override
	public void write(int b) throws IOException {
		write(new byte[] { (byte) b }, 0, 1);
	}

	@Override
	public void write(byte[] bytes, int offset, int length) throws IOException {
		int sent = 0;
		while (sent < length) {
			int n = acquireCredit(Math.min(length - sent, MAX_CHUNK_BYTES));
			byte[] copy = new byte[n];
			System.arraycopy(bytes, offset + sent, copy, 0, n);
			this.sender.accept(UnsafeByteOperations.unsafeWrap(copy));
			sent += n;
		}
	}

	synchronized void grant(int bytes) {
		this.credit += bytes;
		notifyAll();
	}

	synchronized void cancel() {
		this.cancelled = true;
		notifyAll();
	}

	private synchronized int acquireCredit(int wanted) throws IOException {
		long deadline = System.nanoTime() + CREDIT_TIMEOUT.toNanos();
		while ((this.credit <= 0) && !this.cancelled) {
			awaitCredit(deadline);
		}
		if (this.cancelled) {
			throw new IOException("the receiver cancelled the call");
		}
		int n = Math.min(wanted, this.credit);
		this.credit -= n;
		return n;
	}

	private void awaitCredit(long deadline) throws IOException {
		long millis = (deadline - System.nanoTime()) / 1_000_000;
		if (millis <= 0) {
			throw new IOException("the receiver granted no credit within " + CREDIT_TIMEOUT);
		}
		try {
			wait(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while waiting for credit", ex);
		}
	}

}
