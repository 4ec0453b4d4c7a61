#include <guavafront/coordination/routing/route_table.h>

#include <cstdio>

/// Embeds one coordination part: looks a path up in a route table.
int main()
{
    const std::vector<guavafront::route> routes{{.id = {1}, .pathPrefix = "/flags", .service = "flagsja"}};
    const guavafront::route_table table = guavafront::buildRouteTable(routes);
    const guavafront::route *match = guavafront::findRoute(table, "", "/flags/tjornin");
    std::printf("hello: /flags/tjornin -> %s\n", match ? match->service.c_str() : "no route");
    return match ? 0 : 1;
}
