import {create, toBinary} from '@bufbuild/protobuf';
import {describe, expect, it} from 'vitest';
import {NewsSchema, Phase, type News} from '../../../src/generated/peer_pb.js';
import type {Heartbeat} from '../../../src/process/membership/member.ts';
import {Membership} from '../../../src/process/membership/membership.ts';
import type {NewsItem} from '../../../src/process/membership/news-queue.ts';
import {hash32} from '../../../src/process/membership/rendezvous.ts';
import {SeededRandom} from '../../../src/process/random.ts';

const maxNewsBytes = 1200;
const startedAt = 1_700_000_000_000;

function createMembership(id = 'self', incarnation = startedAt): Membership {
	return new Membership({
		id, availabilityZone: 'zone-a', peerUrl: `http://${id}`, incarnation, random: new SeededRandom(1),
	});
}

function createHeartbeat(fields: Partial<Heartbeat> = {}): Heartbeat {
	return {
		daemonId: 'peer',
		incarnation: startedAt,
		availabilityZone: 'zone-a',
		sequence: 100,
		configurationVersion: 0,
		phase: Phase.READY,
		peerUrl: 'http://peer',
		digest: {members: [], sequences: []},
		news: [],
		...fields,
	};
}

function createNews(counter: number, item: NewsItem, origin = 'origin'): News {
	return create(NewsSchema, {
		origin, counter: BigInt(counter), hops: 5, item,
	});
}

function leaving(upstream: string, ageMs = 0, isLeaving = true): NewsItem {
	return {case: 'upstreamLeaving', value: {upstream, ageMs: BigInt(ageMs), leaving: isLeaving}};
}

function usage(customer: string): NewsItem {
	return {
		case: 'customerUsage', value: {
			customer, tokens: 1n, waitingTokens: 1n, intervalMs: 1000,
		},
	};
}

describe('news', () => {
	it('with the same origin and counter is processed once, so that it does not circulate forever', () => {
		const membership = createMembership();
		const news = [createNews(1, usage('a'))];
		membership.receive(createHeartbeat({news}), 0);
		membership.receive(createHeartbeat({news, sequence: 101}), 10);
		expect(membership.takeEvents().filter(event => event.kind === 'news')).toHaveLength(1);
	});

	it('that changes nothing is not forwarded, so that a sign that every daemon observes does not flood the network', () => {
		const membership = createMembership();
		membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: 0}, 0);
		membership.takeUrgentHeartbeats(0);
		membership.receive(createHeartbeat({news: [createNews(1, leaving('engine'))]}), 10);
		expect(membership.takeUrgentHeartbeats(10)).toEqual([]);
	});

	it('about leaving upstreams is sent first and a message stays within 1,200 bytes, so that a burst of usage news delays no leaving mark', () => {
		const membership = createMembership();
		for (let index = 0; index < 2000; index += 1) {
			membership.announce(usage(`customer-${index}`), 0);
		}

		for (let index = 0; index < 100; index += 1) {
			membership.announce(leaving(`engine-${index}`), 0);
		}

		const {news} = membership.receive(createHeartbeat(), 0);
		expect(news.every(({item}) => item.case === 'upstreamLeaving')).toBe(true);
		expect(news.reduce((sum, item) => sum + toBinary(NewsSchema, item).length, 0)).toBeLessThanOrEqual(maxNewsBytes);
	});

	it('ages while it is queued, so that a delayed mark is not taken for a new one', () => {
		const membership = createMembership();
		membership.announce(leaving('engine', 5), 0);
		const {news: [item]} = membership.receive(createHeartbeat(), 400);
		expect(item?.item.value).toMatchObject({ageMs: 405n});
	});

	it('that waited in a socket during a pause of this daemon is discarded, because its ages are wrong', () => {
		const membership = createMembership();
		membership.tick(0);
		membership.tick(20_000);
		membership.receive(createHeartbeat({news: [createNews(1, leaving('engine'))]}), 20_001);
		expect(membership.isLeaving('engine')).toBe(false);
		membership.receive(createHeartbeat({sequence: 101, news: [createNews(2, leaving('engine'))]}), 21_000);
		expect(membership.isLeaving('engine')).toBe(true);
	});
});

describe('a member', () => {
	it('with a lower incarnation is ignored, so that a replaced process changes nothing', () => {
		const membership = createMembership();
		membership.receive(createHeartbeat({incarnation: startedAt + 1, phase: Phase.READY}), 0);
		membership.receive(createHeartbeat({phase: Phase.DRAINING, sequence: 200, news: [createNews(1, leaving('engine'))]}), 10);
		expect(membership.member('peer')).toMatchObject({incarnation: startedAt + 1, phase: Phase.READY});
		expect(membership.isLeaving('engine')).toBe(false);
	});

	it('that learns of a higher incarnation raises its own only soon after its start, so that a replaced process does not outrank its successor', () => {
		const young = createMembership();
		young.tick(0);
		young.receiveAnswer(createHeartbeat({knownIncarnation: startedAt + 50}), 100);
		expect(young.incarnation).toBe(startedAt + 51);
		const old = createMembership();
		old.tick(0);
		old.receiveAnswer(createHeartbeat({knownIncarnation: startedAt + 50}), 60_000);
		expect(old.incarnation).toBe(startedAt);
	});

	it('is not marked dead by news while this daemon has recent evidence that it is alive', () => {
		const membership = createMembership();
		membership.receive(createHeartbeat({daemonId: 'other'}), 0);
		const state: NewsItem = {
			case: 'memberState', value: {
				daemonId: 'other', incarnation: BigInt(startedAt), alive: false, sequence: 100, phase: Phase.READY,
			},
		};
		membership.receive(createHeartbeat({news: [createNews(1, state)]}), 500);
		expect(membership.member('other')?.condition).toBe('alive');
	});

	it('is not marked dead because this daemon itself was paused, but after 6 s of silence that follow', () => {
		const membership = createMembership();
		membership.tick(0);
		membership.receive(createHeartbeat(), 100);
		membership.tick(20_000);
		expect(membership.member('peer')?.condition).toBe('alive');
		for (let second = 21; second <= 27; second += 1) {
			membership.tick(second * 1000);
		}

		expect(membership.member('peer')?.condition).toBe('dead');
	});

	it('that other members hear stays alive, so that one broken link does not mark it dead', () => {
		const membership = createMembership();
		membership.updateHosts(['peer', 'other'].map(id => ({id, availabilityZone: 'zone-a', peerUrl: `http://${id}`})), 0);
		for (let second = 1; second <= 20; second += 1) {
			membership.tick(second * 1000);
			const digest = {members: [hash32('other')], sequences: [100 + second]};
			membership.receive(createHeartbeat({digest, sequence: 100 + second}), second * 1000);
		}

		expect(membership.member('other')?.condition).toBe('alive');
	});

	it('is kept when the host list becomes empty, and is removed when it is dead and no longer listed', () => {
		const membership = createMembership();
		const listed = ['peer', 'other'].map(id => ({id, availabilityZone: 'zone-a', peerUrl: `http://${id}`}));
		membership.updateHosts(listed, 0);
		membership.tick(0);
		for (let second = 1; second <= 8; second += 1) {
			membership.tick(second * 1000);
		}

		membership.updateHosts([], 8000);
		expect(membership.members.map(({id}) => id)).toEqual(['peer', 'other']);
		membership.updateHosts(listed.slice(0, 1), 8000);
		expect(membership.members.map(({id}) => id)).toEqual(['peer']);
	});
});

describe('a leaving mark', () => {
	const listed = (isLeaving: boolean) => [{id: 'engine', availabilityZone: 'zone-a', isLeaving}];

	it('is not withdrawn by a lagging host list that still says live', () => {
		const membership = createMembership();
		membership.updateUpstreams(listed(false), 0);
		membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: 1000}, 1000);
		membership.updateUpstreams(listed(false), 2000);
		expect(membership.isLeaving('engine')).toBe(true);
	});

	it('is withdrawn by a newer sign and not changed by an older one that arrives late', () => {
		const membership = createMembership();
		membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: 5000}, 5000);
		membership.receive(createHeartbeat({news: [createNews(1, leaving('engine', 4000, false))]}), 6000);
		expect(membership.isLeaving('engine')).toBe(true);
		membership.receive(createHeartbeat({sequence: 101, news: [createNews(2, leaving('engine', 100, false))]}), 7000);
		expect(membership.isLeaving('engine')).toBe(false);
		membership.receive(createHeartbeat({sequence: 102, news: [createNews(1, leaving('engine', 2500), 'late')]}), 7500);
		expect(membership.isLeaving('engine')).toBe(false);
	});

	it('makes this daemon probe the upstream for its return, but not while the host list says leaving', () => {
		const membership = createMembership();
		membership.updateUpstreams(listed(false), 0);
		membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: 0}, 0);
		expect(membership.takeDueProbes(1000)).toEqual([]);
		expect(membership.takeDueProbes(2000)).toEqual(['engine']);
		membership.updateUpstreams(listed(true), 2500);
		expect(membership.takeDueProbes(5000)).toEqual([]);
	});

	it('is announced again when a member joins, so that the member sends no work to the upstream', () => {
		const membership = createMembership();
		membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: 0}, 0);
		for (let index = 0; index < 30; index += 1) {
			membership.receive(createHeartbeat({sequence: 100 + index}), 10);
		}

		membership.tick(1000);
		membership.receive(createHeartbeat({daemonId: 'newcomer'}), 1500);
		membership.tick(2000);
		const {news} = membership.receive(createHeartbeat({daemonId: 'newcomer', sequence: 101}), 2001);
		expect(news.map(({item}) => item.case)).toContain('upstreamLeaving');
	});
});
