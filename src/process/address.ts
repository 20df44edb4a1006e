import {isIPv4} from 'node:net';

/** IP and port of a socket. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Parses `IP:PORT`; the text must be valid. */
export function parseAddress(text: string): Address {
	const separator = text.lastIndexOf(':');
	return {host: text.slice(0, separator), port: Number(text.slice(separator + 1))};
}

const portPattern = /^[1-9]\d{0,4}$/v;
const maxPort = 65_535;
/** Addresses from here on are multicast, reserved or broadcast addresses. */
const firstMulticastOctet = 224;

/** Returns true for `IPV4:PORT` text that can be the address of another host's socket. */
export function isHostAddress(text: string): boolean {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, Math.max(0, separator));
	const port = text.slice(separator + 1);
	const firstOctet = Number(host.split('.', 1)[0]);
	// A first octet of 0 means this host.
	return isIPv4(host) && firstOctet > 0 && firstOctet < firstMulticastOctet && portPattern.test(port) && Number(port) <= maxPort;
}
