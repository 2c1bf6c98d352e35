#!/bin/sh
# Starts, on loopback, fakes of the platform and of the targets of three services, and a
# fleet of three instances. Applies a first configuration, sends a preview, a print batch
# (twice) and an upload, prints the responses, the status and the timeline of all
# instances, and stops all processes that it started.
set -eu
bin=${BIN:-bin}
work=$(mktemp -d)
pids=
stop() {
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap stop EXIT
trap 'exit 1' HUP INT PIPE TERM

run() { "$@" >>"$work/log" 2>&1 & pids="$pids $!"; }
call() { "$bin/standin" call "$@"; }

platform=127.7.0.1:7000
run "$bin/standin" platform --listen "$platform"
put() { call --wait 5s --method PUT --header 'If-None-Match=*' --body "$2" "http://$platform/v1/objects/$1" >/dev/null; }

n=10
for service in nahled odeslani prijem; do
	list=
	for domain in praha-a praha-b; do
		n=$((n + 1))
		addr=127.7.0.$n:8000
		run "$bin/standin" target --id "$service-$domain" --listen "$addr" --work 5ms
		list="$list${list:+,}{\"id\":\"$service-$domain\",\"service\":\"$service\",\"addr\":\"$addr\",\"slots\":2,\"maxConns\":240,\"location\":{\"region\":\"praha\",\"failureDomain\":\"$domain\"}}"
	done
	put "targets/$service" "[$list]"
done

"$bin/redwingpoint" keys ca --fleet quickstart --out "$work" >/dev/null
instances=
for i in 1 2 3; do
	name=praha-a-$i
	location='{"region":"praha","failureDomain":"praha-a"}'
	instances="$instances${instances:+,}{\"id\":\"$name\",\"location\":$location,\"peerAddr\":\"127.7.1.$i:7100\",\"operatorAddr\":\"127.7.1.$i:9090\",\"state\":\"live\"}"
	"$bin/redwingpoint" keys instance --ca "$work/ca.crt" --ca-key "$work/ca.key" --instance "$name" --out "$work" >/dev/null
	cat >"$work/$i.yaml" <<YAML
instance: $name
location: {region: praha, failureDomain: praha-a}
caller: {listen: "127.7.1.$i:8080"}
operator: {listen: "127.7.1.$i:9090", token: quickstart}
peer: {listen: "127.7.1.$i:7100", ca: "$work/ca.crt", cert: "$work/$name.crt", key: "$work/$name.key"}
platform: {url: "http://$platform"}
leave: {lag: 0s}
YAML
done
call --method PUT --body "[$instances]" "http://$platform/v1/instances" >/dev/null
for i in 1 2 3; do run "$bin/redwingpoint" serve --settings "$work/$i.yaml"; done

export REDWINGPOINT_OPERATOR=http://127.7.1.1:9090 REDWINGPOINT_TOKEN=quickstart
tries=100
until [ "$("$bin/redwingpoint" status 2>/dev/null | grep -c ' live ')" = 3 ] || [ $tries = 0 ]; do
	tries=$((tries - 1))
	sleep 0.1
done
cat >"$work/fleet.yaml" <<YAML
defaults:
  deadline: 2s
services:
  nahled: {class: idempotent}
  odeslani: {class: nonIdempotent}
  prijem: {class: upload}
exceptions:
- scope: {service: nahled}
  set: {queueLimit: 64}
  reason: previews that wait long are asked for again anyway
YAML
echo '== the first configuration, in force at all instances'
"$bin/redwingpoint" config apply --author "${USER:-operator}" "$work/fleet.yaml" | sed -n '1p;/^region/,$p'
for i in 1 2 3; do call --wait 10s "http://127.7.1.$i:9090/ready" >/dev/null; done

echo '== a preview, at instance 1'
call --header 'Request-Id=preview-1' http://127.7.1.1:8080/nahled/letters/7
echo '== a print batch, at instance 2, then received again at instance 3'
call --method POST --header 'Request-Id=print-1,Idempotency-Key=batch-2026-12' --body 'two rent reminders' http://127.7.1.2:8080/odeslani/batches
call --method POST --header 'Request-Id=print-2,Idempotency-Key=batch-2026-12' --body 'two rent reminders' http://127.7.1.3:8080/odeslani/batches
echo '== an upload, at instance 3'
head -c 3000000 /dev/zero >"$work/addresses.csv"
call --method PUT --header 'Request-Id=upload-1' --file "$work/addresses.csv" http://127.7.1.3:8080/prijem/lists/december
echo '== the fleet at a glance'
"$bin/redwingpoint" status
echo '== the time line of all instances: what happened to the print batch'
"$bin/redwingpoint" timeline --service odeslani
