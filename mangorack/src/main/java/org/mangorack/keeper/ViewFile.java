package org.mangorack.keeper;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

import org.mangorack.keeper.proto.View;

/**
 * Stores the view of the group in a file that is replaced atomically. A truncated or
 * corrupt file is treated as missing.
 */
final class ViewFile {

	private static final int CHECKSUM_BYTES = 8;

	private final Path file;

	private final int tolerance;

	ViewFile(Path file, int tolerance) {
		this.file = file;
		this.tolerance = tolerance;
	}

	/**
	 * Reads the view.
	 * @return the view, or empty if the file is missing or fails its checksum
	 * @throws IOException if the file cannot be read
	 */
	Optional<GroupView> read() throws IOException {
		if (!Files.exists(this.file)) {
			return Optional.empty();
		}
		byte[] bytes = Files.readAllBytes(this.file);
		if (bytes.length < CHECKSUM_BYTES) {
			return Optional.empty();
		}
		byte[] view = Arrays.copyOfRange(bytes, CHECKSUM_BYTES, bytes.length);
		if (ByteBuffer.wrap(bytes).getLong() != checksum(view)) {
			return Optional.empty();
		}
		return Optional.of(GroupView.of(View.parseFrom(view), this.tolerance));
	}

	/**
	 * Replaces the view. The file is synced to disk when this method returns.
	 * @param view the view
	 * @throws IOException if it cannot be written
	 */
	void write(GroupView view) throws IOException {
		byte[] bytes = view.toProto().toByteArray();
		ByteBuffer buffer = ByteBuffer.allocate(CHECKSUM_BYTES + bytes.length);
		buffer.putLong(checksum(bytes)).put(bytes).flip();
		writeSynced(this.file, buffer);
	}

	/**
	 * Replaces a file atomically: after a crash it has either the old or the new content.
	 * @param target the file to replace
	 * @param content the new content
	 * @throws IOException if it cannot be written
	 */
	static void writeSynced(Path target, ByteBuffer content) throws IOException {
		Path temporary = target.resolveSibling(target.getFileName() + ".new");
		try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			while (content.hasRemaining()) {
				out.write(content);
			}
			out.force(true);
		}
		Files.move(temporary, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
		try (FileChannel folder = FileChannel.open(target.getParent(), StandardOpenOption.READ)) {
			folder.force(true);
		}
	}

	private static long checksum(byte[] bytes) {
		CRC32C crc = new CRC32C();
		crc.update(bytes);
		return crc.getValue();
	}

}
