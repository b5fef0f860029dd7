package org.mangorack.keeper;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * The operations on files that {@link RecordLog} and {@link ViewFile} use.
 */
interface DiskFiles {

	/**
	 * The files of the operating system.
	 */
	DiskFiles SYSTEM = new SystemFiles();

	/**
	 * Creates a folder and its parents, unless it exists, and syncs its name to disk.
	 * @param folder the folder
	 * @throws IOException if it cannot be created
	 */
	void createFolder(Path folder) throws IOException;

	/**
	 * Lists the names of the files in a folder.
	 * @param folder the folder
	 * @return the names, in no particular order
	 * @throws IOException if the folder cannot be read
	 */
	List<String> list(Path folder) throws IOException;

	/**
	 * Returns the size of a file.
	 * @param file the file
	 * @return the size in bytes
	 * @throws IOException if the file cannot be read
	 */
	long size(Path file) throws IOException;

	/**
	 * Returns whether a file exists.
	 * @param file the file
	 * @return {@code true} if it exists
	 */
	boolean exists(Path file);

	/**
	 * Reads a whole file.
	 * @param file the file
	 * @return its content
	 * @throws IOException if the file cannot be read
	 */
	byte[] read(Path file) throws IOException;

	/**
	 * Reads a part of a file.
	 * @param file the file
	 * @param offset where the part begins, in bytes
	 * @param length its length in bytes
	 * @return the part, which is shorter if the file ends before
	 * @throws IOException if the file cannot be read
	 */
	default byte[] read(Path file, long offset, int length) throws IOException {
		byte[] content = read(file);
		int from = (int) Math.min(content.length, offset);
		return Arrays.copyOfRange(content, from, Math.min(content.length, from + length));
	}

	/**
	 * Creates a file, or empties it if it exists.
	 * @param file the file
	 * @return the file, open for writing
	 * @throws IOException if the file cannot be created
	 */
	OpenFile create(Path file) throws IOException;

	/**
	 * Syncs the content of an existing file to disk.
	 * @param file the file
	 * @throws IOException if the content may not be on disk
	 */
	void sync(Path file) throws IOException;

	/**
	 * Renames a file, atomically replacing the one of the new name.
	 * @param from the file
	 * @param to its new path, in the same folder
	 * @throws IOException if the file cannot be renamed
	 */
	void rename(Path from, Path to) throws IOException;

	/**
	 * Deletes a file, unless it is missing.
	 * @param file the file
	 * @throws IOException if the file cannot be deleted
	 */
	void delete(Path file) throws IOException;

	/**
	 * Syncs the names in a folder to disk.
	 * @param folder the folder
	 * @throws IOException if they may not be on disk
	 */
	void syncFolder(Path folder) throws IOException;

	/**
	 * Returns the room that is left on the disk of a folder.
	 * @param folder the folder
	 * @return the size in bytes
	 * @throws IOException if it is unknown
	 */
	long roomBytes(Path folder) throws IOException;

	/**
	 * A file that is open for writing.
	 */
	interface OpenFile extends Closeable {

		/**
		 * Appends bytes.
		 * @param bytes the bytes
		 * @throws IOException if not all of them were written; some may have been
		 */
		void write(ByteBuffer bytes) throws IOException;

		/**
		 * Cuts the file.
		 * @param size the size to keep, in bytes
		 * @throws IOException if the file cannot be cut
		 */
		void truncate(long size) throws IOException;

		/**
		 * Syncs the content of the file to disk. After a failure the content written
		 * since the last successful call may be lost, even if a later call succeeds.
		 * @throws IOException if the content may not be on disk
		 */
		void sync() throws IOException;

	}

	/**
	 * The files of the operating system.
	 */
	final class SystemFiles implements DiskFiles {

		@Override
		public void createFolder(Path folder) throws IOException {
			if (!Files.isDirectory(folder)) {
				Files.createDirectories(folder);
				syncFolder(folder.toAbsolutePath().getParent());
			}
		}

		@Override
		public List<String> list(Path folder) throws IOException {
			try (Stream<Path> files = Files.list(folder)) {
				return files.map((file) -> file.getFileName().toString()).toList();
			}
		}

		@Override
		public long size(Path file) throws IOException {
			return Files.size(file);
		}

		@Override
		public boolean exists(Path file) {
			return Files.exists(file);
		}

		@Override
		public byte[] read(Path file) throws IOException {
			return Files.readAllBytes(file);
		}

		@Override
		public byte[] read(Path file, long offset, int length) throws IOException {
			ByteBuffer part = ByteBuffer.allocate(length);
			try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
				int read = 0;
				while (part.hasRemaining() && (read >= 0)) {
					read = channel.read(part, offset + part.position());
				}
			}
			return Arrays.copyOf(part.array(), part.position());
		}

		@Override
		public OpenFile create(Path file) throws IOException {
			return new SystemFile(FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
					StandardOpenOption.TRUNCATE_EXISTING));
		}

		@Override
		public void sync(Path file) throws IOException {
			try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
				channel.force(false);
			}
		}

		@Override
		public void rename(Path from, Path to) throws IOException {
			Files.move(from, to, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
		}

		@Override
		public void delete(Path file) throws IOException {
			Files.deleteIfExists(file);
		}

		@Override
		public void syncFolder(Path folder) throws IOException {
			try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
				channel.force(true);
			}
		}

		@Override
		public long roomBytes(Path folder) throws IOException {
			return Files.getFileStore(folder).getUsableSpace();
		}

	}

	/**
	 * A file of the operating system.
	 *
	 * @param channel the open channel of the file
	 */
	record SystemFile(FileChannel channel) implements OpenFile {

		@Override
		public void write(ByteBuffer bytes) throws IOException {
			while (bytes.hasRemaining()) {
				this.channel.write(bytes);
			}
		}

		@Override
		public void truncate(long size) throws IOException {
			this.channel.truncate(size);
		}

		// The size is the only other attribute that matters, and is synced as well.
		@Override
		public void sync() throws IOException {
			this.channel.force(false);
		}

		@Override
		public void close() throws IOException {
			this.channel.close();
		}

	}

}
