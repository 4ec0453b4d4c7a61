#include <cstdio>

int main()
{
    std::puts("guavafront");
    return 0;
}
