/** Proves to peers that a message comes from a daemon of the same deployment. */
export abstract class PeerAuthenticator {
	/** Headers added to each request to a peer. */
	abstract createHeaders(): Readonly<Record<string, string>>;

	/** True when a request with these headers may be handled. */
	abstract accepts(headers: Headers): boolean;
}

/** Accepts every peer; for deployments whose peer addresses are reachable by their own daemons only. */
export class AllowAllPeerAuthenticator extends PeerAuthenticator {
	createHeaders(): Readonly<Record<string, string>> {
		return {};
	}

	accepts(): boolean {
		return true;
	}
}
