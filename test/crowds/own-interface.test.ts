import {describe, expect, test} from 'vitest';
import {createLocalDeployment, demoKey, demoModels} from '../../src/demo/local-deployment.ts';
import {createLog} from '../../src/process/create-log.ts';
import {
	CallerCrowd, createCrowds, type CrowdKind, type CrowdTarget,
} from '../fixtures/caller-crowd.ts';
import {isServed} from '../fixtures/ordinary-caller.ts';
import {DescriptorWatch, readPeakMemory} from '../fixtures/process-usage.ts';
import {spawnCommand} from '../fixtures/spawned-process.ts';

/** Memory of the host, in megabytes; what the process uses must stay below it. */
const memoryMb = 400;
/** Descriptors of the host; what the process uses must stay below them, less those reserved for files. */
const descriptors = 1000;
const reservedDescriptors = 200;
const mebibyte = 1024 * 1024;
const testTimeoutMs = 60_000;
const authorization = `Bearer ${demoKey}`;

/** Sends a crowd to a daemon in a process of its own, and checks that the daemon stays within its bounds and serves others. */
async function checkCrowd(kind: CrowdKind, isPeerPort: boolean): Promise<void> {
	await using standIns = await createLocalDeployment({availabilityZones: ['zone-a'], daemonsPerZone: 0, log: createLog('error', 'hidden')});
	const limits = `[limits]\nmemory-mb = ${memoryMb}\nmax-descriptors = ${descriptors}`;
	await using daemon = await spawnCommand(['serve'], `${standIns.settingsText('a1', 'zone-a')}\n${limits}`);
	const port = Number(new URL(daemon.url).port);
	const isComplete = async () => isServed({
		port, method: 'POST', path: '/v1/chat/completions', headers: {authorization},
	}, JSON.stringify({model: demoModels[0], max_tokens: 1, messages: [{role: 'user', content: 'check'}]}));
	const isReady = async () => isServed({port, path: '/readyz'});
	expect(await isReady()).toBe(true);
	const pid = daemon.child.pid!;
	using watch = new DescriptorWatch(pid);
	const crowdPort = isPeerPort ? Number(new URL(`http://${daemon.peerAddress}`).port) : port;
	let isServedBeside = false;
	{
		using _crowd = await CallerCrowd.send(kind, crowdPort);
		isServedBeside = await isComplete();
	}

	const isServedAfter = await isComplete();
	const isReadyAfter = await isReady();
	expect(daemon.child.exitCode ?? daemon.child.signalCode).toBe(null);
	expect({
		isServedBeside, isServedAfter, isReadyAfter, memoryMb: Math.max(memoryMb, readPeakMemory(pid) / mebibyte), descriptors: Math.max(descriptors - reservedDescriptors, watch.peak),
	}).toEqual({
		isServedBeside: true, isServedAfter: true, isReadyAfter: true, memoryMb, descriptors: descriptors - reservedDescriptors,
	});
}

const host = 'localhost';
const withKey = `Authorization: ${authorization}\r\n`;
const bodyKinds = /bodies/v;
const places: ReadonlyArray<{readonly place: string; readonly target: CrowdTarget; readonly kinds?: RegExp; readonly isPeerPort?: boolean}> = [
	{place: 'at a route', target: {host, path: '/v1/chat/completions', headers: withKey}},
	{place: 'at a path without a route', target: {host, path: '/none', headers: withKey}, kinds: bodyKinds},
	{place: 'without a key', target: {host, path: '/v1/chat/completions'}, kinds: bodyKinds},
	{place: 'at the readiness path', target: {host, path: '/readyz'}, kinds: /bodies in|ahead/v},
	{place: 'at the path of the metrics', target: {host, path: '/metrics'}, kinds: /chunks of one|ahead/v},
	{
		place: 'at the address for other daemons', target: {host, path: '/'}, kinds: /nothing|long field/v, isPeerPort: true,
	},
];

describe('a crowd of callers outside the limits, on the own interface', {concurrent: false}, () => {
	for (const {place, target, kinds = /./v, isPeerPort = false} of places) {
		for (const kind of createCrowds(target).filter(({name}) => kinds.test(name))) {
			test(`${place}: ${kind.name}`, {timeout: testTimeoutMs}, async () => {
				await checkCrowd(kind, isPeerPort);
			});
		}
	}
});
