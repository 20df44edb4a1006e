/** Tells which addresses this daemon reaches; tests cut connections here. */
export abstract class Connectivity {
	/** False when a connection to the base URL would time out. */
	abstract canReach(url: string): boolean;
}

/** Leaves it to the network. */
export class NetworkConnectivity extends Connectivity {
	canReach(): boolean {
		return true;
	}
}
