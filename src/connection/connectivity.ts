/** Tells which addresses this daemon can reach; tests simulate network partitions with it. */
export abstract class Connectivity {
	/** Returns false when a connection to the base URL would time out. */
	abstract canReach(url: string): boolean;
}

/** Simulates nothing: every address is tried over the network. */
export class NetworkConnectivity extends Connectivity {
	canReach(): boolean {
		return true;
	}
}
