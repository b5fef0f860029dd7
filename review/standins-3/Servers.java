import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Sound servers of the two services. */
final class Servers {

	private Servers() {
	}

	/** Answers with the target of the request after some work. */
	static Rig.Handler plain(Rig rig, int workMillis) {
		return (request, out, socket) -> {
			rig.note("run   plain   %s %s %s tenant=%s", request.id(), request.method, request.target,
					request.headers.get("Tenant"));
			TimeUnit.MILLISECONDS.sleep(workMillis);
			byte[] body = Rig.bytes(request.method + " " + request.target);
			out.write(Rig.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + request.id()
					+ "\r\nResponse-Signature: s." + request.id() + "\r\nContent-Length: " + body.length + "\r\n\r\n"));
			out.write(body);
			return true;
		};
	}

	/** Answers with a stream of events, the first of which tells the size of the input. */
	static Rig.Handler engine(Rig rig, int events) {
		return (request, out, socket) -> {
			rig.note("run   engine  %s %s %s tenant=%s input=%d bytes", request.id(), request.method, request.target,
					request.headers.get("Tenant"), request.body.length);
			out.write(Rig.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nResponse-Signature: s."
					+ request.id() + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
			for (int i = 1; i <= events; i++) {
				chunk(out, "id: " + i + "\ndata: " + request.id() + " " + i + "/" + events + "\n\n");
				TimeUnit.MILLISECONDS.sleep(10);
			}
			out.write(Rig.bytes("0\r\n\r\n"));
			out.flush();
			return true;
		};
	}

	static void chunk(OutputStream out, String text) throws IOException {
		byte[] data = text.getBytes(StandardCharsets.UTF_8);
		out.write(Rig.bytes(Integer.toHexString(data.length) + "\r\n"));
		out.write(data);
		out.write(Rig.bytes("\r\n"));
		out.flush();
	}

}
