package org.mangorack.member;

import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.Optional;

import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;

import org.mangorack.config.Settings.PeerTls;

/**
 * Encrypts links with mutual TLS and verifies the identity of the peer. Both ends present
 * a certificate that is signed by the trusted authority and has the instance name as its
 * common name.
 */
final class LinkSecurity {

	private final SslContext server;

	private final SslContext client;

	private LinkSecurity(SslContext server, SslContext client) {
		this.server = server;
		this.client = client;
	}

	/**
	 * Loads the certificates.
	 * @param settings the certificate files, or {@code null} to disable TLS
	 * @return the TLS configuration of links
	 * @throws IllegalArgumentException if a file is missing or invalid
	 */
	static LinkSecurity read(PeerTls settings) {
		if (settings == null) {
			return new LinkSecurity(null, null);
		}
		try {
			Path trust = settings.trustFile();
			return new LinkSecurity(
					SslContextBuilder.forServer(settings.certificateFile().toFile(), settings.keyFile().toFile())
						.trustManager(trust.toFile())
						.clientAuth(ClientAuth.REQUIRE)
						.build(),
					SslContextBuilder.forClient()
						.keyManager(settings.certificateFile().toFile(), settings.keyFile().toFile())
						.trustManager(trust.toFile())
						.endpointIdentificationAlgorithm("")
						.build());
		}
		catch (SSLException | IllegalArgumentException ex) {
			throw new IllegalArgumentException("invalid peerTls settings " + settings + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Adds the TLS handler to a channel, unless TLS is disabled.
	 * @param channel the channel
	 * @param pipeline the pipeline of the channel, which is still empty
	 * @param dialer whether this end initiated the connection
	 */
	void addTlsHandler(Channel channel, ChannelPipeline pipeline, boolean dialer) {
		if (this.server != null) {
			pipeline.addLast((dialer ? this.client : this.server).newHandler(channel.alloc()));
		}
	}

	/**
	 * Returns whether the peer has proved to be the named instance.
	 * @param channel the channel, after the TLS handshake
	 * @param name the name of the instance
	 * @return {@code true} if the common name of its certificate is that name, or TLS is
	 * disabled
	 */
	boolean isPeerVerified(Channel channel, String name) {
		if (this.server == null) {
			return true;
		}
		SslHandler handler = channel.pipeline().get(SslHandler.class);
		return (handler != null)
				&& commonName(handler.engine().getSession()).filter((cn) -> cn.equals(name)).isPresent();
	}

	private static Optional<String> commonName(SSLSession session) {
		try {
			X509Certificate certificate = (X509Certificate) session.getPeerCertificates()[0];
			for (Rdn rdn : new LdapName(certificate.getSubjectX500Principal().getName()).getRdns()) {
				if (rdn.getType().equalsIgnoreCase("CN")) {
					return Optional.of(rdn.getValue().toString());
				}
			}
			return Optional.empty();
		}
		catch (SSLPeerUnverifiedException | InvalidNameException ex) {
			return Optional.empty();
		}
	}

}
