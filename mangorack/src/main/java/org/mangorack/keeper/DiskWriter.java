package org.mangorack.keeper;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;

import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Turn;

/**
 * Writes copied content to the disk of this keeper. Thread-safe.
 */
final class DiskWriter {

	private final TurnStore turns;

	private final EventLoop loop;

	/**
	 * Creates a writer.
	 * @param turns the content of the disk
	 * @param loop the event loop that the content is confined to
	 */
	DiskWriter(TurnStore turns, EventLoop loop) {
		this.turns = turns;
		this.loop = loop;
	}

	/**
	 * Writes turns.
	 * @param copied the turns
	 * @return completes once all of them are synced, exceptionally if one is not written
	 */
	CompletableFuture<Void> storeTurns(List<Turn> copied) {
		return store(copied, this.turns::storeTurn);
	}

	/**
	 * Writes charges.
	 * @param copied the charges, by program
	 * @return completes once all of them are synced, exceptionally if one is not written
	 */
	CompletableFuture<Void> storeCharges(List<ProgramCharges> copied) {
		return store(copied, this.turns::charge);
	}

	private <T> CompletableFuture<Void> store(List<T> all, BiConsumer<T, Consumer<IOException>> write) {
		List<CompletableFuture<Void>> results = Stream.generate(() -> new CompletableFuture<Void>())
			.limit(all.size())
			.toList();
		this.loop.execute(() -> {
			for (int i = 0; i < all.size(); i++) {
				CompletableFuture<Void> result = results.get(i);
				write.accept(all.get(i), (failure) -> complete(result, failure));
			}
		});
		return CompletableFuture.allOf(results.toArray(CompletableFuture[]::new));
	}

	private static void complete(CompletableFuture<Void> result, IOException failure) {
		if (failure != null) {
			result.completeExceptionally(failure);
		}
		else {
			result.complete(null);
		}
	}

}
