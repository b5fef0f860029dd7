package org.mangorack.keeper;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
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

	private final DiskFiles files;

	ViewFile(Path file, int tolerance) {
		this(file, tolerance, DiskFiles.SYSTEM);
	}

	ViewFile(Path file, int tolerance, DiskFiles files) {
		this.file = file;
		this.tolerance = tolerance;
		this.files = files;
	}

	/**
	 * Reads the view.
	 * @return the view, or empty if the file is missing or fails its checksum
	 * @throws IOException if the file cannot be read
	 */
	Optional<GroupView> read() throws IOException {
		if (!this.files.exists(this.file)) {
			return Optional.empty();
		}
		byte[] bytes = this.files.read(this.file);
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
		writeSynced(this.files, this.file, buffer);
	}

	/**
	 * Replaces a file atomically: after a crash it has either the old or the new content.
	 * A failure leaves nothing behind that takes room on the disk.
	 * @param files the files of the disk
	 * @param target the file to replace
	 * @param content the new content
	 * @throws IOException if it cannot be written
	 */
	static void writeSynced(DiskFiles files, Path target, ByteBuffer content) throws IOException {
		Path temporary = target.resolveSibling(target.getFileName() + ".new");
		try {
			try (DiskFiles.OpenFile out = files.create(temporary)) {
				out.write(content);
				out.sync();
			}
			files.rename(temporary, target);
		}
		catch (IOException ex) {
			deleteAfter(ex, files, temporary);
			throw ex;
		}
		files.syncFolder(target.getParent());
	}

	private static void deleteAfter(IOException failure, DiskFiles files, Path temporary) {
		try {
			files.delete(temporary);
		}
		catch (IOException ex) {
			failure.addSuppressed(ex);
		}
	}

	private static long checksum(byte[] bytes) {
		CRC32C crc = new CRC32C();
		crc.update(bytes);
		return crc.getValue();
	}

}
