package org.mangorack.bench;

import java.util.concurrent.CountDownLatch;

import org.kohsuke.args4j.Option;

import org.mangorack.bench.standin.EngineStandIn;
import org.mangorack.bench.standin.EngineStandIn.Timing;
import org.mangorack.bench.standin.PlatformStandIn;
import org.mangorack.bench.standin.ServiceStandIn;
import org.mangorack.bench.standin.StandInServer;

/**
 * Commands that run a simulated system until the process is terminated.
 */
public final class StandInCommands {

	private StandInCommands() {
	}

	private static int serve(StandInServer server) throws Exception {
		server.start();
		System.out.println("listening on " + server.address());
		new CountDownLatch(1).await();
		return 0;
	}

	/**
	 * Runs a simulated platform.
	 */
	public static final class PlatformCommand implements BenchCommand {

		@Option(name = "--port", required = true)
		private int port;

		@Override
		public int run() throws Exception {
			return serve(new PlatformStandIn(this.port));
		}

	}

	/**
	 * Runs a simulated model engine.
	 */
	public static final class EngineCommand implements BenchCommand {

		@Option(name = "--port", required = true)
		private int port;

		@Option(name = "--prefill-micros")
		private long prefillMicros = 20;

		@Option(name = "--token-micros")
		private long tokenMicros = 5000;

		@Option(name = "--token-micros-per-call")
		private long tokenMicrosPerCall = 200;

		@Option(name = "--cache-tokens")
		private long cacheTokens = 200_000;

		@Override
		public int run() throws Exception {
			Timing timing = new Timing(this.prefillMicros * 1000, this.tokenMicros * 1000,
					this.tokenMicrosPerCall * 1000);
			return serve(new EngineStandIn(this.port, timing, this.cacheTokens));
		}

	}

	/**
	 * Runs a simulated plain service.
	 */
	public static final class ServiceCommand implements BenchCommand {

		@Option(name = "--port", required = true)
		private int port;

		@Override
		public int run() throws Exception {
			return serve(new ServiceStandIn(this.port));
		}

	}

}
