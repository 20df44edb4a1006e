/** Authenticates messages between the daemons of a deployment. */
export abstract class PeerAuthenticator {
	/** Returns the authentication headers of a request to a peer. */
	abstract createHeaders(): Readonly<Record<string, string>>;

	/** Returns true when a request with these headers comes from a daemon of the same deployment. */
	abstract accepts(headers: Headers): boolean;
}

/** Accepts every peer, for deployments whose peer addresses only their own daemons can reach. */
export class AllowAllPeerAuthenticator extends PeerAuthenticator {
	createHeaders(): Readonly<Record<string, string>> {
		return {};
	}

	accepts(): boolean {
		return true;
	}
}
