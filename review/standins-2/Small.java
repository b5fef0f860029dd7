import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A small deployment for cases that last for seconds: four keepers, two entries and some servers. */
final class Small implements AutoCloseable {

	final Record record;

	final Store store;

	final Fleet fleet;

	final List<Fleet.Machine> entries = new ArrayList<>();

	final List<Upstream> servers = new ArrayList<>();

	Small(String root, String folder, int plainServers) throws Exception {
		this.record = new Record(Path.of(folder, "record.txt"));
		this.store = new Store("127.0.0.1");
		this.fleet = new Fleet(Path.of(root), this.record);
		this.store.put("config", "main", Site.configuration(7));
		for (int i = 0; i < plainServers; i++) {
			this.servers.add(new Upstream("i-plain" + i, "plain", this.fleet.newHost(), this.store, this.record));
		}
		List<Fleet.Machine> keepers = new ArrayList<>();
		for (String zone : List.of("kv-a", "kv-b", "kv-c", "kv-d")) {
			keepers.add(this.fleet.add("storage-" + zone + "-1", "keeper", zone, this.store.address()));
		}
		for (String zone : List.of("kv-a", "kv-b")) {
			this.entries.add(this.fleet.add("frontend-" + zone + "-1", "entry", zone, this.store.address()));
		}
		for (Fleet.Machine machine : keepers) {
			machine.start();
		}
		for (Fleet.Machine machine : this.entries) {
			machine.start();
		}
		this.fleet.awaitReady(20);
		TimeUnit.MILLISECONDS.sleep(4000);
	}

	boolean hasRun(String id) {
		return this.servers.stream().anyMatch((s) -> s.runs.stream().anyMatch((r) -> r.id().equals(id)));
	}

	@Override
	public void close() throws Exception {
		this.fleet.close();
		this.store.close();
		this.record.close();
	}

}
